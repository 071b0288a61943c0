#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <string>
#include <string_view>
#include <vector>

namespace jaybridge {

/// Maximum payload size of a record. Longer records are neither written nor
/// accepted when read.
inline constexpr ByteCount MaxRecordSize{64ULL * 1024 * 1024};

/// Encodes one record for the given offset of a file: length, checksum of the
/// length, checksum of the payload, payload, end marker. The checksums are XXH3
/// hashes seeded with the offset, so that a record at another offset is
/// detected as damage.
std::string encodeRecord(std::string_view Payload, ByteCount Offset);

/// Result of reading a file of records.
struct ScannedRecords {
  std::vector<std::string> Payloads_;
  /// Size of the complete records. Bytes after them belong to a write that a
  /// crash interrupted.
  ByteCount CompleteSize_;
};

/// Reads all records. An incomplete last record is skipped, because it cannot
/// have been synced. Any other invalid content is a `Damaged` error with the
/// file and the offset.
Result<ScannedRecords> scanRecords(std::string_view Content,
                                   const std::string &Path);

} // namespace jaybridge
