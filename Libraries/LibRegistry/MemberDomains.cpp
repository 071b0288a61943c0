#include <LibRegistry/MemberDomains.h>

namespace jaybridge {

std::vector<ControlMember>
MemberDomains::list(const VoterSet &Members, const ControlMember &Self) const {
  std::vector<ControlMember> Listed;
  for (const Voter &Member : Members.Voters_) {
    auto Found = Domains_.find(Member.Id_);
    FailureDomain Domain =
        Found == Domains_.end() ? FailureDomain() : Found->second;
    Listed.push_back(
        Member.Id_ == Self.Id_ ? Self : ControlMember{Member.Id_, Domain});
  }
  return Listed;
}

std::optional<MemberId>
chooseNearbyMember(const std::vector<ControlMember> &Members,
                   const InstanceRecord &Announced) {
  std::vector<MemberId> Nearby;
  for (const ControlMember &Member : Members)
    if (Member.Domain_ == Announced.Domain_)
      Nearby.push_back(Member.Id_);
  if (Nearby.empty())
    return std::nullopt;
  return Nearby[stableHash(Announced.Id_.text(), 0) % Nearby.size()];
}

} // namespace jaybridge
