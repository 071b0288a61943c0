#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

namespace {

Error unavailableError(std::string Message) {
  return Error{ErrorCode::Unavailable, std::move(Message), {}};
}

Error notLeaderError(const std::optional<MemberId> &Leader) {
  return unavailableError(Leader ? "not the leader; " + Leader->text() + " is"
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
                 "election timeout must be at least two heartbeat intervals",
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
                 "replicated log: the stored term is lower than the term of "
                 "the last entry",
                 {}};
  Voter Self{Settings.Self_, Recovered.Generation_};
  ReplicatedLog Created(std::move(Settings), std::move(Self),
                        std::move(Recovered.Vote_), std::move(Log), Seed);
  if (const auto &Snapshot = Created.Log_.snapshot())
    Created.CommitIndex_ = Snapshot->LastIndex_;
  Created.Writes_.setSyncedIndex(Created.Log_.lastIndex());
  Created.NextJoinRequest_ = Now;
  Created.LastLeaderContact_ = Now;
  // The first election deadline is short: after a restart of all members there
  // is no leader to wait for, and while there is one it is safe because
  // pre-votes are refused.
  Created.ElectionDeadline_ =
      Now + Created.Settings_.HeartbeatInterval_ +
      Duration(static_cast<Duration::rep>(Created.Random_.below(
          static_cast<std::uint64_t>(
              Created.Settings_.ElectionTimeout_.count()) /
          2)));
  return Created;
}

void ReplicatedLog::handle(const Event &Received, TimePoint Now, Effects &Out) {
  CallContext Context{Now, Out};
  emitRecoveredSnapshot(Context);
  if (IsStopped_)
    return refuseWhileStopped(Received, Context);
  std::visit(
      [&](const auto &Alternative) { handleEvent(Alternative, Context); },
      Received);
}

void ReplicatedLog::advance(TimePoint Now, Effects &Out) {
  CallContext Context{Now, Out};
  emitRecoveredSnapshot(Context);
  if (IsStopped_)
    return;
  if (isLeader())
    advanceLeader(Context);
  if (!isLeader() && Now >= ElectionDeadline_) {
    Leader_.reset();
    resetElectionTimer(Now);
    if (isVoter())
      campaign(true, Context);
  }
  if (auto Due = nextJoinRequest(); Due && Now >= *Due)
    sendJoinRequests(Context);
}

std::optional<TimePoint> ReplicatedLog::nextDeadline() const {
  if (IsStopped_)
    return std::nullopt;
  // Due immediately, as this is still the time of creation: the first call
  // installs the recovered snapshot.
  if (!IsRecoveryEmitted_)
    return NextJoinRequest_;
  TimePoint Next = isLeader() ? NextHeartbeat_ : ElectionDeadline_;
  if (auto Due = nextJoinRequest())
    Next = std::min(Next, *Due);
  return Next;
}

void ReplicatedLog::emitRecoveredSnapshot(CallContext &Context) {
  if (IsRecoveryEmitted_)
    return;
  IsRecoveryEmitted_ = true;
  if (const auto &Snapshot = Log_.snapshot())
    Context.Effects_.push_back(
        InstallSnapshot{Snapshot->LastIndex_, Snapshot->State_});
}

void ReplicatedLog::handleEvent(const ReplicationMessage &Message,
                                CallContext &Context) {
  if (Message.From_.Id_ == Self_.Id_)
    return;
  // Vote requests follow their own rules for terms. The senders of join
  // requests and formation offers may not be part of a log yet and have no
  // valid term.
  bool CanRaiseTerm = !std::holds_alternative<VoteRequest>(Message.Body_) &&
                      !std::holds_alternative<JoinRequest>(Message.Body_) &&
                      !std::holds_alternative<FormationOffer>(Message.Body_);
  if (CanRaiseTerm && Message.Term_ > term())
    becomeFollower(Message.Term_, Context);
  std::visit([&](const auto &Body) { handleBody(Body, Message, Context); },
             Message.Body_);
}

void ReplicatedLog::handleEvent(const ProposalRequest &Proposal,
                                CallContext &Context) {
  auto Refuse = [&](Error Reason) {
    Context.Effects_.push_back(
        ProposalResponse{Proposal.Id_, std::move(Reason), false, Leader_});
  };
  // The contact may have timed out since the last call of advance().
  if (isLeader() && !hasMajorityContact(Context.Now_))
    becomeFollower(term(), Context);
  if (!isLeader())
    return Refuse(notLeaderError(Leader_));
  if (Proposal.Payload_.size() > MaxPayloadSize.value())
    return Refuse(Error{ErrorCode::Full,
                        "change must be at most " +
                            std::to_string(MaxPayloadSize.value()) + " bytes",
                        {}});
  if (PendingProposals_.size() >= MaxPendingProposals ||
      Log_.size() >= MaxEntries ||
      Log_.lastIndex().value() - CommitIndex_.value() >= MaxUncommittedEntries)
    return Refuse(Error{ErrorCode::Full, "too many changes are pending", {}});
  LogIndex Index = appendAsLeader(LogCommand{Proposal.Payload_}, Context);
  PendingProposals_.emplace(Index, Proposal.Id_);
  updateCommitIndex(Context);
}

void ReplicatedLog::handleEvent(const ReadIndexRequest &Read,
                                CallContext &Context) {
  auto Refuse = [&](Error Reason) {
    Context.Effects_.push_back(
        ReadIndexResponse{Read.Id_, std::move(Reason), Leader_});
  };
  if (isLeader() && !hasMajorityContact(Context.Now_))
    becomeFollower(term(), Context);
  if (!isLeader())
    return Refuse(notLeaderError(Leader_));
  if (PendingReads_.size() >= MaxPendingReads)
    return Refuse(Error{ErrorCode::Full, "too many reads are pending", {}});
  // Only answers to requests sent from now on prove that this member still
  // leads. The index covers all entries that earlier leaders may have
  // committed.
  PendingReads_.push_back(
      PendingRead{Read.Id_, std::max(CommitIndex_, LeaderStartIndex_),
                  Round_.next(), Context.Now_ + Settings_.ElectionTimeout_});
  broadcast(Context);
  answerReads(Context);
}

void ReplicatedLog::handleEvent(const Persisted &Done, CallContext &Context) {
  Writes_.finishWrites(Done.Sequence_, Context.Effects_);
  if (Role_ == ReplicationRole::Candidate && Writes_.isIdle())
    countVote(Self_, Context);
  else if (isLeader())
    updateCommitIndex(Context);
}

void ReplicatedLog::handleEvent(const PersistFailed &Failure,
                                CallContext &Context) {
  stop(Failure.Reason_, Context);
}

void ReplicatedLog::handleEvent(const SnapshotTaken &Taken,
                                CallContext &Context) {
  IsSnapshotRequested_ = false;
  if (Taken.State_.size() > MaxSnapshotSize.value() ||
      Taken.Index_ > CommitIndex_ || !Log_.termAt(Taken.Index_) ||
      (Log_.snapshot() && Taken.Index_ <= Log_.snapshot()->LastIndex_))
    return;
  Log_.compact(Taken.Index_, Taken.State_);
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Snapshot_ = Log_.snapshot();
  Write.Entries_ = Log_.allEntries();
  persist(std::move(Write), Context);
}

void ReplicatedLog::stop(Error Reason, CallContext &Context) {
  failPendingRequests("this member stopped: " + Reason.Message_, Context);
  Role_ = ReplicationRole::Follower;
  Leader_.reset();
  Progress_.clear();
  IsStopped_ = true;
  Context.Effects_.push_back(MemberStopped{std::move(Reason)});
}

void ReplicatedLog::refuseWhileStopped(const Event &Received,
                                       CallContext &Context) {
  Error Reason = unavailableError("this member stopped");
  std::visit(
      Overloaded{
          [&](const ProposalRequest &Proposal) {
            Context.Effects_.push_back(
                ProposalResponse{Proposal.Id_, Reason, false, {}});
          },
          [&](const ReplaceMemberRequest &Replace) {
            Context.Effects_.push_back(
                ProposalResponse{Replace.Id_, Reason, false, {}});
          },
          [&](const ReadIndexRequest &Read) {
            Context.Effects_.push_back(ReadIndexResponse{Read.Id_, Reason, {}});
          },
          [](const auto &) {}},
      Received);
}

void ReplicatedLog::becomeFollower(Term ObservedTerm, CallContext &Context) {
  if (isLeader()) {
    failPendingRequests("the leader lost contact with a majority; the change "
                        "may still be committed",
                        Context);
    LastLeaderContact_ = Context.Now_;
  }
  Role_ = ReplicationRole::Follower;
  Leader_.reset();
  Progress_.clear();
  Votes_.clear();
  resetElectionTimer(Context.Now_);
  if (ObservedTerm > term()) {
    Vote_ = TermVote{ObservedTerm, std::nullopt};
    persistVote(Context);
  }
}

void ReplicatedLog::failPendingRequests(const std::string &Reason,
                                        CallContext &Context) {
  for (const auto &[Index, Id] : PendingProposals_)
    Context.Effects_.push_back(
        ProposalResponse{Id, unavailableError(Reason), true, {}});
  for (const PendingRead &Read : PendingReads_)
    Context.Effects_.push_back(
        ReadIndexResponse{Read.Id_, unavailableError(Reason), {}});
  PendingProposals_.clear();
  PendingReads_.clear();
}

void ReplicatedLog::advanceCommitIndex(LogIndex Index, CallContext &Context) {
  while (CommitIndex_ < Index) {
    CommitIndex_ = CommitIndex_.next();
    const LogEntry &Entry = Log_.at(CommitIndex_);
    if (const auto *Command = std::get_if<LogCommand>(&Entry.Content_))
      Context.Effects_.push_back(ApplyCommand{CommitIndex_, Command->Payload_});
    if (auto Found = PendingProposals_.find(CommitIndex_);
        Found != PendingProposals_.end()) {
      Context.Effects_.push_back(
          ProposalResponse{Found->second, CommitIndex_, true, Leader_});
      PendingProposals_.erase(Found);
    }
  }
  LogIndex SnapshotIndex =
      Log_.snapshot() ? Log_.snapshot()->LastIndex_ : LogIndex();
  if (!IsSnapshotRequested_ && CommitIndex_.value() - SnapshotIndex.value() >=
                                   Settings_.SnapshotIntervalEntries_) {
    IsSnapshotRequested_ = true;
    Context.Effects_.push_back(TakeSnapshot{CommitIndex_});
  }
}

void ReplicatedLog::persist(PersistLog Write, CallContext &Context) {
  Write.Sequence_ = Writes_.beginWrite(Log_.lastIndex());
  Context.Effects_.push_back(std::move(Write));
}

void ReplicatedLog::persistVote(CallContext &Context) {
  PersistLog Write;
  Write.Vote_ = Vote_;
  persist(std::move(Write), Context);
}

ReplicationMessage ReplicatedLog::makeMessage(ReplicationBody Body) const {
  return ReplicationMessage{Self_, term(), std::move(Body)};
}

void ReplicatedLog::sendAfterSync(const MemberId &To, ReplicationBody Body,
                                  CallContext &Context) {
  if (Writes_.isIdle())
    return sendImmediately(To, std::move(Body), Context);
  Writes_.deferMessage(SendReplication{To, makeMessage(std::move(Body))});
}

void ReplicatedLog::sendImmediately(const MemberId &To, ReplicationBody Body,
                                    CallContext &Context) {
  Context.Effects_.push_back(SendReplication{To, makeMessage(std::move(Body))});
}

void ReplicatedLog::resetElectionTimer(TimePoint Now) {
  auto JitterRange =
      static_cast<std::uint64_t>(Settings_.ElectionTimeout_.count());
  ElectionDeadline_ =
      Now + Settings_.ElectionTimeout_ +
      Duration(static_cast<Duration::rep>(Random_.below(JitterRange)));
}

} // namespace jaybridge
