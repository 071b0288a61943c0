#pragma once

#include <LibCore/Result.h>
#include <LibLease/LeaseMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeLeaseMessage(const LeaseMessage &Message);

/// Fails with `Damaged` on bytes that no codec wrote.
Result<LeaseMessage> decodeLeaseMessage(std::string_view Payload);

} // namespace jaybridge
