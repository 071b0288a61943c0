#include <LibRegistry/VoterPolicy.h>

namespace jaybridge {

std::optional<ReplaceMember> VoterPolicy::decide(const ReplicatedLog &Log,
                                                 TimePoint Now) {
  if (!Log.isLeader() || Log.members().Replacement_ || Now < NextAt_)
    return std::nullopt;
  for (const auto &[Id, Joining] : Log.pendingJoins()) {
    // A member that is named already and lost its folder is handled by the log.
    if (Log.members().findVoter(Id) ||
        Now > Joining.LastRequestAt_ + JoinerLifetime)
      continue;
    std::optional<MemberId> Leaving;
    for (const Voter &Each : Log.members().Voters_)
      if (auto Heard = Log.lastContact(Each); Heard && Now > *Heard + GoneAfter)
        Leaving = Each.Id_;
    if (!Leaving && Now < Joining.FirstRequestAt_ + JoinPatience)
      continue;
    Last_ = Last_.next();
    NextAt_ = Now + RetryInterval;
    return ReplaceMember{Last_, Leaving, Id};
  }
  return std::nullopt;
}

} // namespace jaybridge
