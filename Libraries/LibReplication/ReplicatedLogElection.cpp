#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::campaign(bool IsPreVote, CallContext &Context) {
  Votes_.clear();
  if (IsPreVote) {
    Role_ = ReplicationRole::PreCandidate;
  } else {
    Role_ = ReplicationRole::Candidate;
    Vote_ = TermVote{term().next(), Self_};
    persistVote(Context);
    resetElectionTimer(Context.Now_);
  }
  for (const Voter &Member : members().Voters_) {
    if (Member == Self_)
      continue;
    sendAfterSync(Member.Id_,
                  VoteRequest{IsPreVote, Log_.lastIndex(), Log_.lastTerm()},
                  Context);
  }
  // In an election the candidate counts its own vote only once it is synced.
  if (IsPreVote)
    countVote(Self_, Context);
}

void ReplicatedLog::countVote(const Voter &From, CallContext &Context) {
  if (!members().isVoter(From))
    return;
  Votes_.insert(From);
  if (!members().hasMajority(
          [&](const Voter &Member) { return Votes_.contains(Member); }))
    return;
  if (Role_ == ReplicationRole::PreCandidate)
    campaign(false, Context);
  else
    becomeLeader(Context);
}

bool ReplicatedLog::hasLeaderContact(TimePoint Now) const {
  return isLeader() ||
         (Leader_ && Now < LastLeaderContact_ + Settings_.ElectionTimeout_);
}

bool ReplicatedLog::hasCommittedInTerm() const {
  return CommitIndex_ > LogIndex() && Log_.termAt(CommitIndex_) == term();
}

bool ReplicatedLog::isUpToDate(TimePoint Now) const {
  if (isLeader())
    return hasCommittedInTerm();
  return UpToDateAt_ && Now < *UpToDateAt_ + Settings_.ElectionTimeout_;
}

void ReplicatedLog::handleBody(const VoteRequest &Request,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  // The data folder of this member is empty or was replaced.
  if (isOutsider())
    return;
  bool IsLogUpToDate = std::pair(Request.LastTerm_, Request.LastIndex_) >=
                       std::pair(Log_.lastTerm(), Log_.lastIndex());
  Term RequestedTerm =
      Request.IsPreVote_ ? Message.Term_.next() : Message.Term_;
  // A member that lost contact must not depose a leader that still reaches the
  // other members.
  if (RequestedTerm > term() && hasLeaderContact(Context.Now_)) {
    sendAfterSync(Message.From_.Id_,
                  VoteAnswer{Request.IsPreVote_, false, RequestedTerm},
                  Context);
    return;
  }
  if (Request.IsPreVote_) {
    sendAfterSync(Message.From_.Id_,
                  VoteAnswer{true, RequestedTerm > term() && IsLogUpToDate,
                             RequestedTerm},
                  Context);
    return;
  }
  if (RequestedTerm > term())
    becomeFollower(RequestedTerm, Context);
  bool IsGranted = RequestedTerm == term() && IsLogUpToDate &&
                   (!Vote_.VotedFor_ || Vote_.VotedFor_ == Message.From_);
  if (IsGranted && !Vote_.VotedFor_) {
    Vote_.VotedFor_ = Message.From_;
    persistVote(Context);
    resetElectionTimer(Context.Now_);
  }
  sendAfterSync(Message.From_.Id_, VoteAnswer{false, IsGranted, RequestedTerm},
                Context);
}

void ReplicatedLog::handleBody(const VoteAnswer &Answer,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  if (!Answer.IsGranted_)
    return;
  if (Answer.IsPreVote_ && Role_ == ReplicationRole::PreCandidate &&
      Answer.RequestedTerm_ == term().next())
    countVote(Message.From_, Context);
  if (!Answer.IsPreVote_ && Role_ == ReplicationRole::Candidate &&
      Answer.RequestedTerm_ == term())
    countVote(Message.From_, Context);
}

} // namespace jaybridge
