#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the messages between members of the replicated log and of the
/// records that its data folder stores. Both carry a checksum. Decoding fails
/// with `Damaged`.
std::string encodeReplicationMessage(const ReplicationMessage &Message);
Result<ReplicationMessage> decodeReplicationMessage(std::string_view Encoded);

/// Leaves out `Sequence_`, which has no meaning after a restart.
std::string encodePersistLog(const PersistLog &Write);
Result<PersistLog> decodePersistLog(std::string_view Encoded);

/// Record codec for a ReplicationStore.
struct PersistLogWireCodec {
  static std::string encode(const PersistLog &Write) {
    return encodePersistLog(Write);
  }
  static Result<PersistLog> decode(std::string_view Record) {
    return decodePersistLog(Record);
  }
};

} // namespace jaybridge
