#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::campaign(bool IsPreVote, Step &S) {
  Votes_.clear();
  if (IsPreVote) {
    Role_ = ReplicationRole::PreCandidate;
  } else {
    Role_ = ReplicationRole::Candidate;
    Vote_ = TermVote{term().next(), Self_};
    persistVote(S);
    resetElectionTimer(S.Now_);
  }
  for (const Voter &Each : members().Voters_) {
    if (Each == Self_)
      continue;
    send(Each.Id_, VoteRequest{IsPreVote, Log_.lastIndex(), Log_.lastTerm()},
         S);
  }
  // In an election the own vote counts once it is synced.
  if (IsPreVote)
    countVote(Self_, S);
}

void ReplicatedLog::countVote(const Voter &From, Step &S) {
  if (!members().isVoter(From))
    return;
  Votes_.insert(From);
  if (!members().hasMajority(
          [&](const Voter &Each) { return Votes_.contains(Each); }))
    return;
  if (Role_ == ReplicationRole::PreCandidate)
    campaign(false, S);
  else
    becomeLeader(S);
}

bool ReplicatedLog::hasLeaderContact(TimePoint Now) const {
  return isLeader() ||
         (Leader_ && Now < LeaderHeard_ + Settings_.ElectionTimeout_);
}

void ReplicatedLog::handleBody(const VoteRequest &Request,
                               const ReplicationMessage &Message, Step &S) {
  // Not named means an empty folder or one that was replaced.
  if (needsToJoin())
    return;
  bool IsCurrent = std::pair(Request.LastTerm_, Request.LastIndex_) >=
                   std::pair(Log_.lastTerm(), Log_.lastIndex());
  Term Requested = Request.IsPreVote_ ? Message.Term_.next() : Message.Term_;
  // A member that lost contact must not depose a leader that others hear.
  if (Requested > term() && hasLeaderContact(S.Now_)) {
    send(Message.From_.Id_, VoteAnswer{Request.IsPreVote_, false, Requested},
         S);
    return;
  }
  if (Request.IsPreVote_) {
    send(Message.From_.Id_,
         VoteAnswer{true, Requested > term() && IsCurrent, Requested}, S);
    return;
  }
  if (Requested > term())
    becomeFollower(Requested, S);
  bool IsGranted = Requested == term() && IsCurrent &&
                   (!Vote_.VotedFor_ || Vote_.VotedFor_ == Message.From_);
  if (IsGranted && !Vote_.VotedFor_) {
    Vote_.VotedFor_ = Message.From_;
    persistVote(S);
    resetElectionTimer(S.Now_);
  }
  send(Message.From_.Id_, VoteAnswer{false, IsGranted, Requested}, S);
}

void ReplicatedLog::handleBody(const VoteAnswer &Answer,
                               const ReplicationMessage &Message, Step &S) {
  if (!Answer.IsGranted_)
    return;
  if (Answer.IsPreVote_ && Role_ == ReplicationRole::PreCandidate &&
      Answer.RequestedTerm_ == term().next())
    countVote(Message.From_, S);
  if (!Answer.IsPreVote_ && Role_ == ReplicationRole::Candidate &&
      Answer.RequestedTerm_ == term())
    countVote(Message.From_, S);
}

} // namespace jaybridge
