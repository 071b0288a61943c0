#include <LibReplication/VoterSet.h>

#include <LibCore/Verify.h>

namespace jaybridge {

bool VoterSet::isVoter(const Voter &Member) const {
  return std::binary_search(Voters_.begin(), Voters_.end(), Member);
}

bool VoterSet::isReceiver(const Voter &Member) const {
  return isVoter(Member) || (Replacement_ && Replacement_->Joining_ == Member);
}

std::optional<Voter> VoterSet::findVoter(const MemberId &Id) const {
  auto Found =
      std::find_if(Voters_.begin(), Voters_.end(),
                   [&](const Voter &Member) { return Member.Id_ == Id; });
  return Found == Voters_.end() ? std::nullopt : std::optional(*Found);
}

std::vector<Voter> VoterSet::receivers() const {
  std::vector<Voter> All = Voters_;
  if (Replacement_ && !isVoter(Replacement_->Joining_))
    All.push_back(Replacement_->Joining_);
  return All;
}

VoterSet VoterSet::withReplacement(Replacement Planned) const {
  JAYBRIDGE_VERIFY(!Replacement_ && !isVoter(Planned.Joining_));
  VoterSet Next = *this;
  Next.Replacement_ = std::move(Planned);
  return Next;
}

VoterSet VoterSet::withJoiningVoter() const {
  JAYBRIDGE_VERIFY(Replacement_ && !isVoter(Replacement_->Joining_));
  VoterSet Next = *this;
  const Voter &Joining = Replacement_->Joining_;
  Next.Voters_.insert(
      std::upper_bound(Next.Voters_.begin(), Next.Voters_.end(), Joining),
      Joining);
  return Next;
}

VoterSet VoterSet::withReplacementFinished() const {
  JAYBRIDGE_VERIFY(Replacement_ && isVoter(Replacement_->Joining_));
  VoterSet Next = *this;
  if (Replacement_->Leaving_)
    std::erase(Next.Voters_, *Replacement_->Leaving_);
  Next.Replacement_.reset();
  return Next;
}

VoterSet VoterSet::withReplacementAbandoned() const {
  JAYBRIDGE_VERIFY(Replacement_ && !isVoter(Replacement_->Joining_));
  VoterSet Next = *this;
  Next.Replacement_.reset();
  return Next;
}

} // namespace jaybridge
