#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::follow(const ReplicationMessage &Message, Step &S) {
  Role_ = ReplicationRole::Follower;
  Leader_ = Message.From_.Id_;
  LeaderHeard_ = S.Now_;
  resetElectionTimer(S.Now_);
}

void ReplicatedLog::handleBody(const AppendRequest &Request,
                               const ReplicationMessage &Message, Step &S) {
  // The round of an earlier term must not be taken for one of this term.
  if (Message.Term_ < term()) {
    send(Message.From_.Id_,
         AppendAnswer{false, Log_.lastIndex(), ReplicationRound()}, S);
    return;
  }
  if (isLeader())
    return stop(Error{ErrorCode::Damaged,
                      "replicated log: two leaders in one term",
                      {}},
                S);
  follow(Message, S);
  LogIndex Previous = Request.PreviousIndex_;
  std::optional<Term> Known = Log_.termAt(Previous);
  // What is committed here is equal everywhere, also where its entries were
  // already replaced by a snapshot.
  bool IsMatch = Known == Request.PreviousTerm_ || Previous < CommitIndex_;
  if (!IsMatch) {
    LogIndex Hint = Log_.lastIndex();
    if (Previous <= Hint)
      Hint = std::max(CommitIndex_, Log_.lastIndexBeforeTermOf(Previous));
    send(Message.From_.Id_, AppendAnswer{false, Hint, Request.Round_}, S);
    return;
  }
  appendFrom(Request, S);
  if (IsStopped_)
    return;
  LogIndex Match(Previous.value() + Request.Entries_.size());
  commitTo(std::min(Request.CommitIndex_, Match), S);
  send(Message.From_.Id_, AppendAnswer{true, Match, Request.Round_}, S);
}

void ReplicatedLog::appendFrom(const AppendRequest &Request, Step &S) {
  PersistLog Write;
  LogIndex Expected = Request.PreviousIndex_;
  for (const LogEntry &Entry : Request.Entries_) {
    Expected = Expected.next();
    if (Entry.Index_ != Expected)
      return stop(Error{ErrorCode::Damaged,
                        "replicated log: received entries have a gap",
                        {}},
                  S);
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
    persist(std::move(Write), S);
}

void ReplicatedLog::handleBody(const SnapshotRequest &Request,
                               const ReplicationMessage &Message, Step &S) {
  if (Message.Term_ < term() || isLeader()) {
    send(Message.From_.Id_,
         AppendAnswer{false, Log_.lastIndex(), ReplicationRound()}, S);
    return;
  }
  follow(Message, S);
  if (Request.LastIndex_ <= CommitIndex_) {
    Incoming_.reset();
    send(Message.From_.Id_,
         AppendAnswer{true, Request.LastIndex_, Request.Round_}, S);
    return;
  }
  if (Request.TotalSize_ > GreatestSnapshotSize)
    return;
  bool IsSame = Incoming_ && Incoming_->LastIndex_ == Request.LastIndex_ &&
                Incoming_->LastTerm_ == Request.LastTerm_ &&
                Incoming_->Sender_ == term();
  if (!IsSame)
    Incoming_ =
        IncomingSnapshot{term(), Request.LastIndex_, Request.LastTerm_, {}};
  std::string &State = Incoming_->State_;
  if (Request.Offset_.value() == State.size() &&
      State.size() + Request.Piece_.size() <= Request.TotalSize_.value())
    State += Request.Piece_;
  if (State.size() == Request.TotalSize_.value()) {
    installIncoming(Request, S);
    send(Message.From_.Id_,
         AppendAnswer{true, Request.LastIndex_, Request.Round_}, S);
    return;
  }
  send(Message.From_.Id_,
       SnapshotAnswer{Request.LastIndex_, SnapshotOffset(State.size()),
                      Request.Round_},
       S);
}

void ReplicatedLog::installIncoming(const SnapshotRequest &Request, Step &S) {
  Writes_.truncateFrom(Request.LastIndex_.next());
  Log_.install(LogSnapshot{Request.LastIndex_, Request.LastTerm_,
                           Request.Members_, std::move(Incoming_->State_)});
  Incoming_.reset();
  IsSnapshotAsked_ = false;
  CommitIndex_ = Request.LastIndex_;
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Snapshot_ = Log_.snapshot();
  Write.Entries_ = Log_.all();
  persist(std::move(Write), S);
  S.Out_.push_back(
      InstallSnapshot{Request.LastIndex_, Log_.snapshot()->State_});
}

void ReplicatedLog::handleBody(const FolderOutdated &,
                               const ReplicationMessage &Message, Step &S) {
  if (Message.Term_ < term())
    return;
  stop(Error{ErrorCode::Damaged,
             "the data folder lost entries that it had synced; the member must "
             "restart with an empty folder",
             {}},
       S);
}

} // namespace jaybridge
