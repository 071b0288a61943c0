#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::followLeader(const ReplicationMessage &Message,
                                 CallContext &Context) {
  Role_ = ReplicationRole::Follower;
  Leader_ = Message.From_.Id_;
  LastLeaderContact_ = Context.Now_;
  resetElectionTimer(Context.Now_);
}

void ReplicatedLog::handleBody(const AppendRequest &Request,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  // The round belongs to an earlier term and must not be taken for one of this
  // term, so the answer carries none.
  if (Message.Term_ < term()) {
    sendAfterSync(Message.From_.Id_,
                  AppendAnswer{false, Log_.lastIndex(), ReplicationRound()},
                  Context);
    return;
  }
  if (isLeader())
    return stop(Error{ErrorCode::Damaged,
                      "replicated log: two leaders in one term",
                      {}},
                Context);
  followLeader(Message, Context);
  LogIndex Previous = Request.PreviousIndex_;
  std::optional<Term> Known = Log_.termAt(Previous);
  // Committed entries are equal on all members, even if a snapshot has already
  // replaced them here.
  bool IsMatch = Known == Request.PreviousTerm_ || Previous < CommitIndex_;
  if (!IsMatch) {
    LogIndex Hint = Log_.lastIndex();
    if (Previous <= Hint)
      Hint = std::max(CommitIndex_, Log_.lastIndexBeforeTermOf(Previous));
    sendAfterSync(Message.From_.Id_, AppendAnswer{false, Hint, Request.Round_},
                  Context);
    return;
  }
  appendReceivedEntries(Request, Context);
  if (IsStopped_)
    return;
  LogIndex Match(Previous.value() + Request.Entries_.size());
  advanceCommitIndex(std::min(Request.CommitIndex_, Match), Context);
  if (hasCommittedInTerm() && CommitIndex_ >= Request.CommitIndex_)
    UpToDateAt_ = Context.Now_;
  sendAfterSync(Message.From_.Id_, AppendAnswer{true, Match, Request.Round_},
                Context);
}

void ReplicatedLog::appendReceivedEntries(const AppendRequest &Request,
                                          CallContext &Context) {
  PersistLog Write;
  LogIndex Expected = Request.PreviousIndex_;
  for (const LogEntry &Entry : Request.Entries_) {
    Expected = Expected.next();
    if (Entry.Index_ != Expected)
      return stop(Error{ErrorCode::Damaged,
                        "replicated log: received entries have a gap",
                        {}},
                  Context);
    if (Entry.Index_ <= CommitIndex_ ||
        Log_.termAt(Entry.Index_) == Entry.Term_)
      continue;
    if (Entry.Index_ <= Log_.lastIndex()) {
      Log_.truncateFrom(Entry.Index_);
      Writes_.truncateFrom(Entry.Index_);
    }
    Log_.append(Entry);
    Write.Entries_.push_back(Entry);
  }
  if (!Write.Entries_.empty())
    persist(std::move(Write), Context);
}

void ReplicatedLog::handleBody(const SnapshotRequest &Request,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  if (Message.Term_ < term() || isLeader()) {
    sendAfterSync(Message.From_.Id_,
                  AppendAnswer{false, Log_.lastIndex(), ReplicationRound()},
                  Context);
    return;
  }
  followLeader(Message, Context);
  if (Request.LastIndex_ <= CommitIndex_) {
    IncomingSnapshot_.reset();
    sendAfterSync(Message.From_.Id_,
                  AppendAnswer{true, Request.LastIndex_, Request.Round_},
                  Context);
    return;
  }
  if (Request.TotalSize_ > MaxSnapshotSize)
    return;
  bool IsSameSnapshot = IncomingSnapshot_ &&
                        IncomingSnapshot_->LastIndex_ == Request.LastIndex_ &&
                        IncomingSnapshot_->LastTerm_ == Request.LastTerm_ &&
                        IncomingSnapshot_->SenderTerm_ == term();
  if (!IsSameSnapshot)
    IncomingSnapshot_ =
        IncomingSnapshot{term(), Request.LastIndex_, Request.LastTerm_, {}};
  std::string &State = IncomingSnapshot_->State_;
  if (Request.Offset_.value() == State.size() &&
      State.size() + Request.Piece_.size() <= Request.TotalSize_.value())
    State += Request.Piece_;
  if (State.size() == Request.TotalSize_.value()) {
    installIncomingSnapshot(Request, Context);
    sendAfterSync(Message.From_.Id_,
                  AppendAnswer{true, Request.LastIndex_, Request.Round_},
                  Context);
    return;
  }
  sendAfterSync(Message.From_.Id_,
                SnapshotAnswer{Request.LastIndex_, SnapshotOffset(State.size()),
                               Request.Round_},
                Context);
}

void ReplicatedLog::installIncomingSnapshot(const SnapshotRequest &Request,
                                            CallContext &Context) {
  Writes_.truncateFrom(Request.LastIndex_.next());
  Log_.install(LogSnapshot{Request.LastIndex_, Request.LastTerm_,
                           Request.Members_,
                           std::move(IncomingSnapshot_->State_)});
  IncomingSnapshot_.reset();
  IsSnapshotRequested_ = false;
  CommitIndex_ = Request.LastIndex_;
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Snapshot_ = Log_.snapshot();
  Write.Entries_ = Log_.allEntries();
  persist(std::move(Write), Context);
  Context.Effects_.push_back(
      InstallSnapshot{Request.LastIndex_, Log_.snapshot()->State_});
}

void ReplicatedLog::handleBody(const FolderOutdated &,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  if (Message.Term_ < term())
    return;
  stop(Error{ErrorCode::Damaged,
             "the data folder lost entries that it had synced; the member must "
             "restart with an empty folder",
             {}},
       Context);
}

} // namespace jaybridge
