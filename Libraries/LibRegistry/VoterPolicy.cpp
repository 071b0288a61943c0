#include <LibRegistry/VoterPolicy.h>

namespace jaybridge {

std::optional<ReplaceMemberRequest>
VoterPolicy::decide(const ReplicatedLog &Log, TimePoint Now) {
  if (!Log.isLeader() || Log.members().Replacement_ || Now < NextProposalAt_)
    return std::nullopt;
  for (const auto &[Id, Joining] : Log.pendingJoins()) {
    // The log itself handles a voter that rejoins after losing its data folder.
    if (Log.members().findVoter(Id) ||
        Now > Joining.LastRequestAt_ + JoinerTimeout)
      continue;
    std::optional<MemberId> Leaving;
    for (const Voter &Member : Log.members().Voters_)
      if (auto LastContactAt = Log.lastContact(Member);
          LastContactAt && Now > *LastContactAt + VoterTimeout)
        Leaving = Member.Id_;
    if (!Leaving && Now < Joining.FirstRequestAt_ + ReplacementTimeout)
      continue;
    LastProposal_ = LastProposal_.next();
    NextProposalAt_ = Now + RetryInterval;
    return ReplaceMemberRequest{LastProposal_, Leaving, Id};
  }
  return std::nullopt;
}

} // namespace jaybridge
