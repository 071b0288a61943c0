#include <LibRegistry/MemberDomains.h>

namespace jaybridge {

std::vector<ControlMember>
MemberDomains::list(const VoterSet &Members, const ControlMember &Self) const {
  std::vector<ControlMember> Known;
  for (const Voter &Each : Members.Voters_) {
    auto Found = Domains_.find(Each.Id_);
    FailureDomain Heard =
        Found == Domains_.end() ? FailureDomain() : Found->second;
    Known.push_back(Each.Id_ == Self.Id_ ? Self
                                         : ControlMember{Each.Id_, Heard});
  }
  return Known;
}

std::optional<MemberId> nearbyMember(const std::vector<ControlMember> &Members,
                                     const InstanceRecord &Said) {
  std::vector<MemberId> Near;
  for (const ControlMember &Each : Members)
    if (Each.Domain_ == Said.Domain_)
      Near.push_back(Each.Id_);
  if (Near.empty())
    return std::nullopt;
  return Near[stableHash(Said.Id_.text(), 0) % Near.size()];
}

} // namespace jaybridge
