#pragma once

#include <LibCore/Result.h>
#include <LibLedger/LedgerMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeLedgerRequest(const LedgerRequest &Message);
std::string encodeLedgerReply(const LedgerReply &Message);

/// Fail with `Damaged` on bytes that no codec wrote.
Result<LedgerRequest> decodeLedgerRequest(std::string_view Payload);
Result<LedgerReply> decodeLedgerReply(std::string_view Payload);

} // namespace jaybridge
