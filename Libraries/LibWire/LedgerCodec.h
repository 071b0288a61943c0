#pragma once

#include <LibCore/Result.h>
#include <LibLedger/LedgerMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the messages between gateways and the replicas of the ledger.
std::string encodeLedgerRequest(const LedgerRequest &Message);
std::string encodeLedgerReply(const LedgerReply &Message);

/// Fail with `Damaged` on malformed bytes.
Result<LedgerRequest> decodeLedgerRequest(std::string_view Payload);
Result<LedgerReply> decodeLedgerReply(std::string_view Payload);

} // namespace jaybridge
