#pragma once

#include <LibCore/Result.h>
#include <LibMembership/MembershipMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodes a message of the failure detector and member gossip (Membership).
std::string encodeMembershipMessage(const MembershipMessage &Message);

/// Fails with `Damaged` on malformed bytes.
Result<MembershipMessage> decodeMembershipMessage(std::string_view Payload);

} // namespace jaybridge
