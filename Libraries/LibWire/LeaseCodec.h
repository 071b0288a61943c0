#pragma once

#include <LibCore/Result.h>
#include <LibLease/LeaseMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodes a message between a LeaseCandidate and a LeaseVoter.
std::string encodeLeaseMessage(const LeaseMessage &Message);

/// Fails with `Damaged` on malformed bytes.
Result<LeaseMessage> decodeLeaseMessage(std::string_view Payload);

} // namespace jaybridge
