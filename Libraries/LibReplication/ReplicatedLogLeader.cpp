#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::becomeLeader(Step &S) {
  Role_ = ReplicationRole::Leader;
  Leader_ = Self_.Id_;
  Votes_.clear();
  Incoming_.reset();
  Progress_.clear();
  Round_ = ReplicationRound();
  LeaderStartIndex_ = appendOwn(LeaderStarted{}, S);
  commitFromMatches(S);
}

LogIndex ReplicatedLog::appendOwn(decltype(LogEntry::Content_) Content,
                                  Step &S) {
  LogEntry Entry{Log_.lastIndex().next(), term(), std::move(Content)};
  LogIndex Index = Entry.Index_;
  PersistLog Write;
  Write.Entries_.push_back(Entry);
  Log_.append(std::move(Entry));
  persist(std::move(Write), S);
  updateProgress(S.Now_);
  for (auto &[Receiver, Progress] : Progress_)
    if (!Progress.IsInFlight_)
      sendLog(Receiver, S);
  return Index;
}

void ReplicatedLog::updateProgress(TimePoint Now) {
  std::vector<Voter> Receivers = members().receivers();
  std::erase(Receivers, Self_);
  std::erase_if(Progress_, [&](const auto &Each) {
    return std::find(Receivers.begin(), Receivers.end(), Each.first) ==
           Receivers.end();
  });
  for (const Voter &Each : Receivers) {
    FollowerProgress Fresh;
    Fresh.Next_ = Log_.lastIndex();
    Fresh.LastHeard_ = Now;
    Progress_.try_emplace(Each, Fresh);
  }
}

void ReplicatedLog::sendLog(const Voter &To, Step &S) {
  FollowerProgress &Progress = Progress_.at(To);
  LogIndex Previous(Progress.Next_.value() - 1);
  std::optional<Term> PreviousTerm = Log_.termAt(Previous);
  if (!PreviousTerm || Progress.Next_ < Log_.firstIndex())
    return sendSnapshotPiece(To, Progress, S);
  Round_ = Round_.next();
  AppendRequest Request{
      Previous, *PreviousTerm,
      Log_.slice(Progress.Next_, GreatestBatch, GreatestBatchSize),
      CommitIndex_, Round_};
  Progress.IsInFlight_ = !Request.Entries_.empty();
  Progress.SentAt_ = S.Now_;
  Progress.SentRound_ = Round_;
  if (Previous > Progress.Match_)
    Progress.WithinMatchSince_.reset();
  else if (!Progress.WithinMatchSince_)
    Progress.WithinMatchSince_ = Round_;
  // May go out before this member has synced: it counts itself only then.
  sendAtOnce(To.Id_, std::move(Request), S);
}

void ReplicatedLog::sendSnapshotPiece(const Voter &To,
                                      FollowerProgress &Progress, Step &S) {
  JAYBRIDGE_VERIFY(Log_.snapshot());
  const LogSnapshot &Snapshot = *Log_.snapshot();
  if (Progress.SnapshotIndex_ != Snapshot.LastIndex_) {
    Progress.SnapshotIndex_ = Snapshot.LastIndex_;
    Progress.SnapshotSent_ = SnapshotOffset();
  }
  Round_ = Round_.next();
  Progress.IsInFlight_ = true;
  sendAtOnce(To.Id_,
             SnapshotRequest{
                 Snapshot.LastIndex_, Snapshot.LastTerm_, Snapshot.Members_,
                 Progress.SnapshotSent_, ByteCount(Snapshot.State_.size()),
                 Snapshot.State_.substr(Progress.SnapshotSent_.value(),
                                        SnapshotPieceSize.value()),
                 Round_},
             S);
}

void ReplicatedLog::broadcast(Step &S) {
  NextHeartbeat_ = S.Now_ + Settings_.HeartbeatInterval_;
  for (auto &[Receiver, Progress] : Progress_) {
    bool IsUnderWay = Progress.IsInFlight_ &&
                      Progress.SnapshotIndex_ == LogIndex() &&
                      S.Now_ < Progress.SentAt_ + Settings_.ElectionTimeout_;
    if (IsUnderWay)
      sendHeartbeat(Receiver, Progress, S);
    else
      sendLog(Receiver, S);
  }
}

/// Entries that were sent lately are not sent again: they may be long.
void ReplicatedLog::sendHeartbeat(const Voter &To, FollowerProgress &Progress,
                                  Step &S) {
  std::optional<Term> MatchTerm = Log_.termAt(Progress.Match_);
  if (!MatchTerm)
    return sendLog(To, S);
  Round_ = Round_.next();
  sendAtOnce(
      To.Id_,
      AppendRequest{Progress.Match_, *MatchTerm, {}, CommitIndex_, Round_}, S);
}

void ReplicatedLog::commitFromMatches(Step &S) {
  if (!isLeader())
    return;
  LogIndex Candidate = CommitIndex_;
  for (LogIndex Index = CommitIndex_.next(); Index <= Log_.lastIndex();
       Index = Index.next()) {
    bool IsStored = members().hasMajority([&](const Voter &Each) {
      if (Each == Self_)
        return Writes_.syncedIndex() >= Index;
      auto Found = Progress_.find(Each);
      return Found != Progress_.end() && Found->second.Match_ >= Index;
    });
    if (!IsStored)
      break;
    // Entries of earlier terms become committed only together with one of this
    // term (Raft, section 5.4.2).
    if (Log_.termAt(Index) == term())
      Candidate = Index;
  }
  commitTo(Candidate, S);
  answerReads(S);
  continueReplacement(S);
}

void ReplicatedLog::answerReads(Step &S) {
  while (!Reads_.empty()) {
    const PendingRead &Read = Reads_.front();
    bool IsConfirmed = members().hasMajority([&](const Voter &Each) {
      if (Each == Self_)
        return true;
      auto Found = Progress_.find(Each);
      return Found != Progress_.end() &&
             Found->second.AnsweredRound_ >= Read.Round_;
    });
    if (!IsConfirmed || CommitIndex_ < Read.Index_)
      return;
    S.Out_.push_back(ReadAnswer{Read.Id_, CommitIndex_, Leader_});
    Reads_.pop_front();
  }
}

bool ReplicatedLog::hearsMajority(TimePoint Now) const {
  return members().hasMajority([&](const Voter &Each) {
    if (Each == Self_)
      return true;
    auto Found = Progress_.find(Each);
    return Found != Progress_.end() &&
           Now <= Found->second.LastHeard_ + Settings_.ElectionTimeout_;
  });
}

void ReplicatedLog::advanceLeader(Step &S) {
  if (!hearsMajority(S.Now_))
    return becomeFollower(term(), S);
  while (!Reads_.empty() && S.Now_ >= Reads_.front().Deadline_) {
    S.Out_.push_back(ReadAnswer{
        Reads_.front().Id_,
        Error{ErrorCode::Unavailable,
              "no majority confirmed the read within the election timeout",
              {}},
        Leader_});
    Reads_.pop_front();
  }
  continueReplacement(S);
  if (isLeader() && S.Now_ >= NextHeartbeat_)
    broadcast(S);
}

void ReplicatedLog::handleBody(const AppendAnswer &Answer,
                               const ReplicationMessage &Message, Step &S) {
  auto Found = Progress_.find(Message.From_);
  if (!isLeader() || Message.Term_ != term() || Found == Progress_.end() ||
      Answer.MatchIndex_ > Log_.lastIndex() || Answer.Round_ > Round_)
    return;
  FollowerProgress &Progress = Found->second;
  Progress.LastHeard_ = S.Now_;
  Progress.AnsweredRound_ = std::max(Progress.AnsweredRound_, Answer.Round_);
  // Answers come in order: one to an earlier request says nothing of the
  // entries under way, one to a later heartbeat that they were lost.
  if (!Answer.IsAccepted_ || Answer.Round_ >= Progress.SentRound_)
    Progress.IsInFlight_ = false;
  if (Answer.IsAccepted_) {
    if (Answer.MatchIndex_ > Progress.Match_) {
      Progress.Match_ = Answer.MatchIndex_;
      Progress.MatchRound_ = Answer.Round_;
    }
    Progress.Next_ = std::max(Progress.Next_, Progress.Match_.next());
  } else {
    // The request, sent after the entries had been acknowledged, continued one
    // of them. A request that continued a later entry may be refused with a
    // hint that skips a whole term and so lies before the acknowledged ones.
    if (Answer.MatchIndex_ < Progress.Match_ &&
        Answer.Round_ > Progress.MatchRound_ && Progress.WithinMatchSince_ &&
        Answer.Round_ >= *Progress.WithinMatchSince_)
      return send(Message.From_.Id_, FolderOutdated{}, S);
    Progress.Next_ =
        std::max(Progress.Match_.next(),
                 std::min(Progress.Next_, Answer.MatchIndex_.next()));
  }
  LogIndex Next = Progress.Next_;
  commitFromMatches(S);
  if (isLeader() && Progress_.contains(Message.From_) &&
      (!Answer.IsAccepted_ || Next <= Log_.lastIndex()) &&
      !Progress_.at(Message.From_).IsInFlight_)
    sendLog(Message.From_, S);
}

void ReplicatedLog::handleBody(const SnapshotAnswer &Answer,
                               const ReplicationMessage &Message, Step &S) {
  auto Found = Progress_.find(Message.From_);
  if (!isLeader() || Message.Term_ != term() || Found == Progress_.end() ||
      Answer.Round_ > Round_)
    return;
  FollowerProgress &Progress = Found->second;
  Progress.LastHeard_ = S.Now_;
  Progress.AnsweredRound_ = std::max(Progress.AnsweredRound_, Answer.Round_);
  Progress.IsInFlight_ = false;
  if (Log_.snapshot() && Answer.LastIndex_ == Log_.snapshot()->LastIndex_ &&
      Answer.LastIndex_ == Progress.SnapshotIndex_ &&
      Answer.NextOffset_.value() <= Log_.snapshot()->State_.size())
    Progress.SnapshotSent_ = Answer.NextOffset_;
  answerReads(S);
  sendLog(Message.From_, S);
}

} // namespace jaybridge
