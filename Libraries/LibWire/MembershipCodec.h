#pragma once

#include <LibCore/Result.h>
#include <LibMembership/MembershipMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeMembershipMessage(const MembershipMessage &Message);

/// Fails with `Damaged` on bytes that no codec wrote.
Result<MembershipMessage> decodeMembershipMessage(std::string_view Payload);

} // namespace jaybridge
