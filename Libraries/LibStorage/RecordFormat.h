#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <string>
#include <string_view>
#include <vector>

namespace jaybridge {

/// Longest record that is written or believed when read.
inline constexpr ByteCount MaxRecordSize{64ULL * 1024 * 1024};

/// One record as it is written at an offset of a file: length, checksum of the
/// length, checksum of the payload, payload, end mark. The checksums (xxHash,
/// XXH3) also cover the offset.
std::string encodeRecord(std::string_view Payload, ByteCount Offset);

struct ScannedRecords {
  std::vector<std::string> Payloads_;
  /// Where the complete records end; what follows was torn by a crash.
  ByteCount CompleteSize_;
};

/// Reads all records. A last record that was not written completely is left
/// out: it cannot have been synced. Any other deviation is `Damaged` and names
/// file and offset.
Result<ScannedRecords> scanRecords(std::string_view Content,
                                   const std::string &Path);

} // namespace jaybridge
