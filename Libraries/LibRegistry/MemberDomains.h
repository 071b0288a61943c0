#pragma once

#include <LibRegistry/SubscriptionMessages.h>
#include <LibReplication/VoterSet.h>

#include <map>

namespace jaybridge {

/// The failure domains of the control members, as learned from their messages.
class MemberDomains {
public:
  void setDomain(const ControlMember &Member) {
    Domains_[Member.Id_] = Member.Domain_;
  }
  /// Returns the voters with their failure domains; the domain is empty while
  /// it is unknown.
  std::vector<ControlMember> list(const VoterSet &Members,
                                  const ControlMember &Self) const;

private:
  std::map<MemberId, FailureDomain> Domains_;
};

/// Chooses the control member that receives an instance's later announcements:
/// one in the same failure domain, so that announcements without a change don't
/// leave the domain. A hash of the id spreads the instances over its members.
/// Returns none if the domain has no control member.
std::optional<MemberId>
chooseNearbyMember(const std::vector<ControlMember> &Members,
                   const InstanceRecord &Announced);

} // namespace jaybridge
