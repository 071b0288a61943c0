#pragma once

#include <LibRegistry/SubscriptionMessages.h>
#include <LibReplication/VoterSet.h>

#include <map>

namespace jaybridge {

/// The failure domains of the control members, as they were heard of.
class MemberDomains {
public:
  void learn(const ControlMember &Member) {
    Domains_[Member.Id_] = Member.Domain_;
  }
  /// The voters with their domains; those not heard of yet have none.
  std::vector<ControlMember> list(const VoterSet &Members,
                                  const ControlMember &Self) const;

private:
  std::map<MemberId, FailureDomain> Domains_;
};

/// The member that takes an instance's later announcements. Those that change
/// nothing stay within the failure domain; its members share its instances.
std::optional<MemberId> nearbyMember(const std::vector<ControlMember> &Members,
                                     const InstanceRecord &Said);

} // namespace jaybridge
