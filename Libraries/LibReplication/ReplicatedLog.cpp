#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

namespace {

Error unavailable(std::string Message) {
  return Error{ErrorCode::Unavailable, std::move(Message), {}};
}

Error notLeader(const std::optional<MemberId> &Leader) {
  return unavailable(Leader ? "not the leader; " + Leader->text() + " is"
                            : "no leader is known");
}

} // namespace

Result<ReplicatedLog> ReplicatedLog::create(ReplicationSettings Settings,
                                            RecoveredLog Recovered,
                                            RandomSeed Seed, TimePoint Now) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "member id must not be empty", "self"};
  if (Settings.HeartbeatInterval_ <= Duration::zero() ||
      Settings.ElectionTimeout_ < 2 * Settings.HeartbeatInterval_)
    return Error{ErrorCode::Invalid,
                 "election timeout must be at least two heartbeats",
                 "election-timeout"};
  std::erase(Settings.Members_, Settings.Self_);
  std::sort(Settings.Members_.begin(), Settings.Members_.end());
  if (Settings.Members_.size() >= VoterSet::MaxVoters)
    return Error{ErrorCode::Invalid,
                 "at most " + std::to_string(VoterSet::MaxVoters) +
                     " control members are permitted",
                 "members"};
  JAYBRIDGE_TRY(EntryLog Log, EntryLog::create(std::move(Recovered.Snapshot_),
                                               std::move(Recovered.Entries_)));
  if (Log.lastTerm() > Recovered.Vote_.Term_)
    return Error{ErrorCode::Damaged,
                 "replicated log: the term is older than the last entry",
                 {}};
  Voter Self{Settings.Self_, Recovered.Generation_};
  ReplicatedLog Created(std::move(Settings), std::move(Self),
                        std::move(Recovered.Vote_), std::move(Log), Seed);
  if (const auto &Snapshot = Created.Log_.snapshot())
    Created.CommitIndex_ = Snapshot->LastIndex_;
  Created.Writes_.setSyncedIndex(Created.Log_.lastIndex());
  Created.NextJoinRequest_ = Now;
  // After a restart of all members nobody leads, and no leader needs to be
  // waited for: a pre-vote is refused while there is one.
  Created.ElectionDeadline_ =
      Now + Created.Settings_.HeartbeatInterval_ +
      Duration(static_cast<Duration::rep>(Created.Random_.below(
          static_cast<std::uint64_t>(
              Created.Settings_.ElectionTimeout_.count()) /
          2)));
  return Created;
}

void ReplicatedLog::handle(const Event &Received, TimePoint Now, Effects &Out) {
  Step S{Now, Out};
  announceRecovered(S);
  if (IsStopped_)
    return refuseWhileStopped(Received, S);
  std::visit([&](const auto &Each) { receive(Each, S); }, Received);
}

void ReplicatedLog::advance(TimePoint Now, Effects &Out) {
  Step S{Now, Out};
  announceRecovered(S);
  if (IsStopped_)
    return;
  if (isLeader())
    advanceLeader(S);
  if (!isLeader() && Now >= ElectionDeadline_) {
    Leader_.reset();
    resetElectionTimer(Now);
    if (isVoter())
      campaign(true, S);
  }
  if (needsToJoin() && Now >= NextJoinRequest_)
    askToJoin(S);
}

std::optional<TimePoint> ReplicatedLog::nextDeadline() const {
  if (IsStopped_)
    return std::nullopt;
  // Still the time of creation: the recovered state is announced at once.
  if (!IsRecoveryAnnounced_)
    return NextJoinRequest_;
  TimePoint Next = isLeader() ? NextHeartbeat_ : ElectionDeadline_;
  if (needsToJoin())
    Next = std::min(Next, NextJoinRequest_);
  return Next;
}

void ReplicatedLog::announceRecovered(Step &S) {
  if (IsRecoveryAnnounced_)
    return;
  IsRecoveryAnnounced_ = true;
  if (const auto &Snapshot = Log_.snapshot())
    S.Out_.push_back(InstallSnapshot{Snapshot->LastIndex_, Snapshot->State_});
}

void ReplicatedLog::receive(const ReplicationMessage &Message, Step &S) {
  if (Message.From_.Id_ == Self_.Id_)
    return;
  // A request for a vote has rules of its own about terms, and members that are
  // not part of the log yet have none.
  bool IsAboutTerm = !std::holds_alternative<VoteRequest>(Message.Body_) &&
                     !std::holds_alternative<JoinRequest>(Message.Body_) &&
                     !std::holds_alternative<FormationOffer>(Message.Body_);
  if (IsAboutTerm && Message.Term_ > term())
    becomeFollower(Message.Term_, S);
  std::visit([&](const auto &Body) { handleBody(Body, Message, S); },
             Message.Body_);
}

void ReplicatedLog::receive(const Propose &Proposal, Step &S) {
  auto Refuse = [&](Error Reason) {
    S.Out_.push_back(
        ProposalAnswer{Proposal.Id_, std::move(Reason), false, Leader_});
  };
  // The time may have passed since the last call of advance().
  if (isLeader() && !hearsMajority(S.Now_))
    becomeFollower(term(), S);
  if (!isLeader())
    return Refuse(notLeader(Leader_));
  if (Proposal.Payload_.size() > GreatestPayload.value())
    return Refuse(Error{ErrorCode::Full,
                        "change must be at most " +
                            std::to_string(GreatestPayload.value()) + " bytes",
                        {}});
  if (Proposals_.size() >= GreatestPendingProposals ||
      Log_.size() >= GreatestEntries ||
      Log_.lastIndex().value() - CommitIndex_.value() >= GreatestUncommitted)
    return Refuse(Error{ErrorCode::Full, "too many changes are pending", {}});
  LogIndex Index = appendOwn(LogCommand{Proposal.Payload_}, S);
  Proposals_.emplace(Index, Proposal.Id_);
  commitFromMatches(S);
}

void ReplicatedLog::receive(const ReadIndex &Read, Step &S) {
  auto Refuse = [&](Error Reason) {
    S.Out_.push_back(ReadAnswer{Read.Id_, std::move(Reason), Leader_});
  };
  if (isLeader() && !hearsMajority(S.Now_))
    becomeFollower(term(), S);
  if (!isLeader())
    return Refuse(notLeader(Leader_));
  if (Reads_.size() >= GreatestPendingReads)
    return Refuse(Error{ErrorCode::Full, "too many reads are pending", {}});
  // Only answers to requests sent from now on prove that this member still
  // leads; the index covers all that earlier leaders may have committed.
  Reads_.push_back(
      PendingRead{Read.Id_, std::max(CommitIndex_, LeaderStartIndex_),
                  Round_.next(), S.Now_ + Settings_.ElectionTimeout_});
  broadcast(S);
  answerReads(S);
}

void ReplicatedLog::receive(const Persisted &Done, Step &S) {
  Writes_.finish(Done.Sequence_, S.Out_);
  if (Role_ == ReplicationRole::Candidate && Writes_.isIdle())
    countVote(Self_, S);
  else if (isLeader())
    commitFromMatches(S);
}

void ReplicatedLog::receive(const PersistFailed &Failure, Step &S) {
  stop(Failure.Reason_, S);
}

void ReplicatedLog::receive(const SnapshotTaken &Taken, Step &S) {
  IsSnapshotAsked_ = false;
  if (Taken.State_.size() > GreatestSnapshotSize.value() ||
      Taken.Index_ > CommitIndex_ || !Log_.termAt(Taken.Index_) ||
      (Log_.snapshot() && Taken.Index_ <= Log_.snapshot()->LastIndex_))
    return;
  Log_.compact(Taken.Index_, Taken.State_);
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Snapshot_ = Log_.snapshot();
  Write.Entries_ = Log_.all();
  persist(std::move(Write), S);
}

void ReplicatedLog::stop(Error Reason, Step &S) {
  dropPending("this member stopped: " + Reason.Message_, S);
  Role_ = ReplicationRole::Follower;
  Leader_.reset();
  Progress_.clear();
  IsStopped_ = true;
  S.Out_.push_back(MemberStopped{std::move(Reason)});
}

void ReplicatedLog::refuseWhileStopped(const Event &Received, Step &S) {
  Error Reason = unavailable("this member stopped");
  std::visit(
      Overloaded{
          [&](const Propose &Proposal) {
            S.Out_.push_back(ProposalAnswer{Proposal.Id_, Reason, false, {}});
          },
          [&](const ReplaceMember &Replace) {
            S.Out_.push_back(ProposalAnswer{Replace.Id_, Reason, false, {}});
          },
          [&](const ReadIndex &Read) {
            S.Out_.push_back(ReadAnswer{Read.Id_, Reason, {}});
          },
          [](const auto &) {}},
      Received);
}

void ReplicatedLog::becomeFollower(Term Seen, Step &S) {
  if (isLeader())
    dropPending("the leader lost its majority; the change may still be made",
                S);
  Role_ = ReplicationRole::Follower;
  Leader_.reset();
  Progress_.clear();
  Votes_.clear();
  resetElectionTimer(S.Now_);
  if (Seen > term()) {
    Vote_ = TermVote{Seen, std::nullopt};
    persistVote(S);
  }
}

void ReplicatedLog::dropPending(const std::string &Reason, Step &S) {
  for (const auto &[Index, Id] : Proposals_)
    S.Out_.push_back(ProposalAnswer{Id, unavailable(Reason), true, {}});
  for (const PendingRead &Read : Reads_)
    S.Out_.push_back(ReadAnswer{Read.Id_, unavailable(Reason), {}});
  Proposals_.clear();
  Reads_.clear();
}

void ReplicatedLog::commitTo(LogIndex Index, Step &S) {
  while (CommitIndex_ < Index) {
    CommitIndex_ = CommitIndex_.next();
    const LogEntry &Entry = Log_.at(CommitIndex_);
    if (const auto *Command = std::get_if<LogCommand>(&Entry.Content_))
      S.Out_.push_back(ApplyCommand{CommitIndex_, Command->Payload_});
    if (auto Found = Proposals_.find(CommitIndex_); Found != Proposals_.end()) {
      S.Out_.push_back(
          ProposalAnswer{Found->second, CommitIndex_, true, Leader_});
      Proposals_.erase(Found);
    }
  }
  LogIndex Covered = Log_.snapshot() ? Log_.snapshot()->LastIndex_ : LogIndex();
  if (!IsSnapshotAsked_ && CommitIndex_.value() - Covered.value() >=
                               Settings_.SnapshotIntervalEntries_) {
    IsSnapshotAsked_ = true;
    S.Out_.push_back(TakeSnapshot{CommitIndex_});
  }
}

void ReplicatedLog::persist(PersistLog Write, Step &S) {
  Write.Sequence_ = Writes_.begin(Log_.lastIndex());
  S.Out_.push_back(std::move(Write));
}

void ReplicatedLog::persistVote(Step &S) {
  PersistLog Write;
  Write.Vote_ = Vote_;
  persist(std::move(Write), S);
}

ReplicationMessage ReplicatedLog::message(ReplicationBody Body) const {
  return ReplicationMessage{Self_, term(), std::move(Body)};
}

void ReplicatedLog::send(const MemberId &To, ReplicationBody Body, Step &S) {
  if (Writes_.isIdle())
    return sendAtOnce(To, std::move(Body), S);
  Writes_.defer(SendReplication{To, message(std::move(Body))});
}

void ReplicatedLog::sendAtOnce(const MemberId &To, ReplicationBody Body,
                               Step &S) {
  S.Out_.push_back(SendReplication{To, message(std::move(Body))});
}

void ReplicatedLog::resetElectionTimer(TimePoint Now) {
  auto Spread = static_cast<std::uint64_t>(Settings_.ElectionTimeout_.count());
  ElectionDeadline_ =
      Now + Settings_.ElectionTimeout_ +
      Duration(static_cast<Duration::rep>(Random_.below(Spread)));
}

} // namespace jaybridge
