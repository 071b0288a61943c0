#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::becomeLeader(CallContext &Context) {
  Role_ = ReplicationRole::Leader;
  Leader_ = Self_.Id_;
  Votes_.clear();
  IncomingSnapshot_.reset();
  Progress_.clear();
  Round_ = ReplicationRound();
  LeaderStartIndex_ = appendAsLeader(LeaderStarted{}, Context);
  updateCommitIndex(Context);
}

LogIndex ReplicatedLog::appendAsLeader(decltype(LogEntry::Content_) Content,
                                       CallContext &Context) {
  LogEntry Entry{Log_.lastIndex().next(), term(), std::move(Content)};
  LogIndex Index = Entry.Index_;
  PersistLog Write;
  Write.Entries_.push_back(Entry);
  Log_.append(std::move(Entry));
  persist(std::move(Write), Context);
  updateTrackedReceivers(Context.Now_);
  for (auto &[Receiver, Progress] : Progress_)
    if (!Progress.IsInFlight_)
      sendLog(Receiver, Context);
  return Index;
}

void ReplicatedLog::updateTrackedReceivers(TimePoint Now) {
  std::vector<Voter> Receivers = members().receivers();
  std::erase(Receivers, Self_);
  std::erase_if(Progress_, [&](const auto &Tracked) {
    return std::find(Receivers.begin(), Receivers.end(), Tracked.first) ==
           Receivers.end();
  });
  for (const Voter &Receiver : Receivers) {
    FollowerProgress NewProgress;
    NewProgress.NextIndex_ = Log_.lastIndex();
    NewProgress.LastContact_ = Now;
    Progress_.try_emplace(Receiver, NewProgress);
  }
}

void ReplicatedLog::sendLog(const Voter &To, CallContext &Context) {
  FollowerProgress &Progress = Progress_.at(To);
  LogIndex Previous(Progress.NextIndex_.value() - 1);
  std::optional<Term> PreviousTerm = Log_.termAt(Previous);
  if (!PreviousTerm || Progress.NextIndex_ < Log_.firstIndex())
    return sendSnapshotPiece(To, Progress, Context);
  Round_ = Round_.next();
  AppendRequest Request{
      Previous, *PreviousTerm,
      Log_.slice(Progress.NextIndex_, MaxBatchEntries, MaxBatchSize),
      CommitIndex_, Round_};
  Progress.IsInFlight_ = !Request.Entries_.empty();
  Progress.SentAt_ = Context.Now_;
  Progress.SentRound_ = Round_;
  if (Previous > Progress.MatchIndex_)
    Progress.PreviousMatchedSince_.reset();
  else if (!Progress.PreviousMatchedSince_)
    Progress.PreviousMatchedSince_ = Round_;
  // Sent before this member has synced the entries: it counts itself towards
  // the majority only after the sync.
  sendImmediately(To.Id_, std::move(Request), Context);
}

void ReplicatedLog::sendSnapshotPiece(const Voter &To,
                                      FollowerProgress &Progress,
                                      CallContext &Context) {
  JAYBRIDGE_VERIFY(Log_.snapshot());
  const LogSnapshot &Snapshot = *Log_.snapshot();
  if (Progress.SnapshotIndex_ != Snapshot.LastIndex_) {
    Progress.SnapshotIndex_ = Snapshot.LastIndex_;
    Progress.SnapshotNextOffset_ = SnapshotOffset();
  }
  Round_ = Round_.next();
  Progress.IsInFlight_ = true;
  sendImmediately(
      To.Id_,
      SnapshotRequest{
          Snapshot.LastIndex_, Snapshot.LastTerm_, Snapshot.Members_,
          Progress.SnapshotNextOffset_, ByteCount(Snapshot.State_.size()),
          Snapshot.State_.substr(Progress.SnapshotNextOffset_.value(),
                                 SnapshotPieceSize.value()),
          Round_},
      Context);
}

void ReplicatedLog::broadcast(CallContext &Context) {
  NextHeartbeat_ = Context.Now_ + Settings_.HeartbeatInterval_;
  for (auto &[Receiver, Progress] : Progress_) {
    bool AreEntriesInFlight =
        Progress.IsInFlight_ && Progress.SnapshotIndex_ == LogIndex() &&
        Context.Now_ < Progress.SentAt_ + Settings_.ElectionTimeout_;
    if (AreEntriesInFlight)
      sendHeartbeat(Receiver, Progress, Context);
    else
      sendLog(Receiver, Context);
  }
}

/// Sends a heartbeat without entries: those in flight may be large and are not
/// sent again.
void ReplicatedLog::sendHeartbeat(const Voter &To, FollowerProgress &Progress,
                                  CallContext &Context) {
  std::optional<Term> MatchTerm = Log_.termAt(Progress.MatchIndex_);
  if (!MatchTerm)
    return sendLog(To, Context);
  Round_ = Round_.next();
  sendImmediately(
      To.Id_,
      AppendRequest{Progress.MatchIndex_, *MatchTerm, {}, CommitIndex_, Round_},
      Context);
}

void ReplicatedLog::updateCommitIndex(CallContext &Context) {
  if (!isLeader())
    return;
  LogIndex NewCommitIndex = CommitIndex_;
  for (LogIndex Index = CommitIndex_.next(); Index <= Log_.lastIndex();
       Index = Index.next()) {
    bool IsStored = members().hasMajority([&](const Voter &Member) {
      if (Member == Self_)
        return Writes_.syncedIndex() >= Index;
      auto Found = Progress_.find(Member);
      return Found != Progress_.end() && Found->second.MatchIndex_ >= Index;
    });
    if (!IsStored)
      break;
    // Entries of earlier terms are committed only together with one of this
    // term (Raft, section 5.4.2).
    if (Log_.termAt(Index) == term())
      NewCommitIndex = Index;
  }
  const bool WasUpToDate = hasCommittedInTerm();
  advanceCommitIndex(NewCommitIndex, Context);
  // The followers serve nobody until they know this.
  if (!WasUpToDate && hasCommittedInTerm())
    broadcast(Context);
  answerReads(Context);
  continueReplacement(Context);
}

void ReplicatedLog::answerReads(CallContext &Context) {
  while (!PendingReads_.empty()) {
    const PendingRead &Read = PendingReads_.front();
    bool IsConfirmed = members().hasMajority([&](const Voter &Member) {
      if (Member == Self_)
        return true;
      auto Found = Progress_.find(Member);
      return Found != Progress_.end() &&
             Found->second.AnsweredRound_ >= Read.Round_;
    });
    if (!IsConfirmed || CommitIndex_ < Read.Index_)
      return;
    Context.Effects_.push_back(
        ReadIndexResponse{Read.Id_, CommitIndex_, Leader_});
    PendingReads_.pop_front();
  }
}

bool ReplicatedLog::hasMajorityContact(TimePoint Now) const {
  return members().hasMajority([&](const Voter &Member) {
    if (Member == Self_)
      return true;
    auto Found = Progress_.find(Member);
    return Found != Progress_.end() &&
           Now <= Found->second.LastContact_ + Settings_.ElectionTimeout_;
  });
}

void ReplicatedLog::advanceLeader(CallContext &Context) {
  if (!hasMajorityContact(Context.Now_))
    return becomeFollower(term(), Context);
  while (!PendingReads_.empty() &&
         Context.Now_ >= PendingReads_.front().Deadline_) {
    Context.Effects_.push_back(ReadIndexResponse{
        PendingReads_.front().Id_,
        Error{ErrorCode::Unavailable,
              "no majority confirmed the read within the election timeout",
              {}},
        Leader_});
    PendingReads_.pop_front();
  }
  continueReplacement(Context);
  if (isLeader() && Context.Now_ >= NextHeartbeat_)
    broadcast(Context);
}

void ReplicatedLog::handleBody(const AppendAnswer &Answer,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  auto Found = Progress_.find(Message.From_);
  if (!isLeader() || Message.Term_ != term() || Found == Progress_.end() ||
      Answer.MatchIndex_ > Log_.lastIndex() || Answer.Round_ > Round_)
    return;
  FollowerProgress &Progress = Found->second;
  Progress.LastContact_ = Context.Now_;
  Progress.AnsweredRound_ = std::max(Progress.AnsweredRound_, Answer.Round_);
  // Answers arrive in order. One to an earlier request says nothing about the
  // entries in flight; one to a later heartbeat means that they were lost.
  if (!Answer.IsAccepted_ || Answer.Round_ >= Progress.SentRound_)
    Progress.IsInFlight_ = false;
  if (Answer.IsAccepted_) {
    if (Answer.MatchIndex_ > Progress.MatchIndex_) {
      Progress.MatchIndex_ = Answer.MatchIndex_;
      Progress.MatchRound_ = Answer.Round_;
    }
    Progress.NextIndex_ =
        std::max(Progress.NextIndex_, Progress.MatchIndex_.next());
  } else {
    // The request was sent after the entries had been acknowledged, and its
    // previous entry was one of them: a refusal means that the data folder lost
    // entries. A request whose previous entry was later may be refused with a
    // hint that skips a whole term and is therefore lower than the acknowledged
    // index.
    if (Answer.MatchIndex_ < Progress.MatchIndex_ &&
        Answer.Round_ > Progress.MatchRound_ &&
        Progress.PreviousMatchedSince_ &&
        Answer.Round_ >= *Progress.PreviousMatchedSince_)
      return sendAfterSync(Message.From_.Id_, FolderOutdated{}, Context);
    Progress.NextIndex_ =
        std::max(Progress.MatchIndex_.next(),
                 std::min(Progress.NextIndex_, Answer.MatchIndex_.next()));
  }
  LogIndex Next = Progress.NextIndex_;
  updateCommitIndex(Context);
  if (isLeader() && Progress_.contains(Message.From_) &&
      (!Answer.IsAccepted_ || Next <= Log_.lastIndex()) &&
      !Progress_.at(Message.From_).IsInFlight_)
    sendLog(Message.From_, Context);
}

void ReplicatedLog::handleBody(const SnapshotAnswer &Answer,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  auto Found = Progress_.find(Message.From_);
  if (!isLeader() || Message.Term_ != term() || Found == Progress_.end() ||
      Answer.Round_ > Round_)
    return;
  FollowerProgress &Progress = Found->second;
  Progress.LastContact_ = Context.Now_;
  Progress.AnsweredRound_ = std::max(Progress.AnsweredRound_, Answer.Round_);
  Progress.IsInFlight_ = false;
  if (Log_.snapshot() && Answer.LastIndex_ == Log_.snapshot()->LastIndex_ &&
      Answer.LastIndex_ == Progress.SnapshotIndex_ &&
      Answer.NextOffset_.value() <= Log_.snapshot()->State_.size())
    Progress.SnapshotNextOffset_ = Answer.NextOffset_;
  answerReads(Context);
  sendLog(Message.From_, Context);
}

} // namespace jaybridge
