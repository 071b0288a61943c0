#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaybridge {

/// Size limit of decompressed text, above that of any message or log entry, so
/// that a damaged one can't exhaust the memory.
constexpr ByteCount MaxDecompressedSize{std::uint64_t(64) * 1024 * 1024};

/// Compresses text for slow links and disks (zlib format, RFC 1950).
/// Configurations shrink to about a sixth.
std::vector<std::uint8_t> compressText(std::string_view Text);

/// Errors: Damaged when the bytes are not a complete zlib stream or the text
/// exceeds MaxDecompressedSize.
Result<std::string> decompressText(const std::vector<std::uint8_t> &Compressed);

} // namespace jaybridge
