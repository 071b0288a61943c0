#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaybridge {

/// More than a message or a log entry may hold once unpacked: a damaged one
/// must not exhaust the memory.
constexpr ByteCount MaxDecompressedSize{std::uint64_t(64) * 1024 * 1024};

/// Compresses text for slow links and disks (zlib format, RFC 1950).
/// Configurations shrink to about a sixth.
std::vector<std::uint8_t> compressText(std::string_view Text);

/// Errors: Damaged when the bytes are not complete packed text or exceed the
/// greatest length.
Result<std::string> decompressText(const std::vector<std::uint8_t> &Packed);

} // namespace jaybridge
