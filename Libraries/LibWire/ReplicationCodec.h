#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the replicated log: messages to other members, and the writes
/// that are kept as records in a data folder. Both carry a checksum. Decoding
/// fails with `Damaged`.
std::string encodeReplicationMessage(const ReplicationMessage &Message);
Result<ReplicationMessage> decodeReplicationMessage(std::string_view Encoded);

/// Without `Sequence_`, which has no meaning after a restart.
std::string encodePersistLog(const PersistLog &Write);
Result<PersistLog> decodePersistLog(std::string_view Encoded);

} // namespace jaybridge
