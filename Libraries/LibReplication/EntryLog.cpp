#include <LibReplication/EntryLog.h>

namespace jaybridge {

namespace {

Error damagedError(const std::string &Reason) {
  return Error{ErrorCode::Damaged, "replicated log: " + Reason, {}};
}

/// Estimated size of an encoded entry without its payload.
constexpr std::size_t EntryOverheadBytes = 64;

std::size_t estimateSize(const LogEntry &Entry) {
  const auto *Command = std::get_if<LogCommand>(&Entry.Content_);
  return EntryOverheadBytes + (Command ? Command->Payload_.size() : 0);
}

LogIndex previousIndex(LogIndex Index) { return LogIndex(Index.value() - 1); }

} // namespace

Result<EntryLog> EntryLog::create(std::optional<LogSnapshot> Snapshot,
                                  std::vector<LogEntry> Entries) {
  EntryLog Log;
  if (Snapshot) {
    Log.Members_ = {{Snapshot->LastIndex_, Snapshot->Members_}};
    Log.Snapshot_ = std::move(Snapshot);
  }
  LogIndex End = Log.Snapshot_ ? Log.Snapshot_->LastIndex_ : LogIndex();
  if (!Entries.empty() && (Entries.front().Index_ > End.next() ||
                           Entries.front().Index_ == LogIndex()))
    return damagedError("entries do not continue the snapshot");
  Term LastTerm;
  for (LogEntry &Entry : Entries) {
    if (!Log.Entries_.empty() && Entry.Index_ != Log.lastIndex().next())
      return damagedError("entry " + std::to_string(Entry.Index_.value()) +
                          " does not follow its predecessor");
    if (Entry.Term_ < LastTerm)
      return damagedError("the term decreases at entry " +
                          std::to_string(Entry.Index_.value()));
    LastTerm = Entry.Term_;
    Log.append(std::move(Entry));
  }
  if (Log.lastIndex() < End)
    return damagedError("entries end before the last index of the snapshot");
  return Log;
}

LogIndex EntryLog::firstIndex() const {
  return Entries_.empty() ? lastIndex().next() : Entries_.front().Index_;
}

LogIndex EntryLog::lastIndex() const {
  if (!Entries_.empty())
    return Entries_.back().Index_;
  return Snapshot_ ? Snapshot_->LastIndex_ : LogIndex();
}

Term EntryLog::lastTerm() const {
  if (!Entries_.empty())
    return Entries_.back().Term_;
  return Snapshot_ ? Snapshot_->LastTerm_ : Term();
}

std::optional<Term> EntryLog::termAt(LogIndex Index) const {
  if (Snapshot_ && Index == Snapshot_->LastIndex_)
    return Snapshot_->LastTerm_;
  if (Index == LogIndex())
    return firstIndex() == LogIndex(1) ? std::optional(Term()) : std::nullopt;
  if (Index < firstIndex() || Index > lastIndex())
    return std::nullopt;
  return at(Index).Term_;
}

const LogEntry &EntryLog::at(LogIndex Index) const {
  JAYBRIDGE_VERIFY(Index >= firstIndex() && Index <= lastIndex());
  return Entries_[Index.value() - firstIndex().value()];
}

std::vector<LogEntry> EntryLog::slice(LogIndex From, std::size_t MaxCount,
                                      ByteCount MaxSize) const {
  std::vector<LogEntry> Part;
  std::size_t Size = 0;
  for (LogIndex Index = From; Index <= lastIndex(); Index = Index.next()) {
    const LogEntry &Entry = at(Index);
    Size += estimateSize(Entry);
    if (Part.size() == MaxCount || (!Part.empty() && Size > MaxSize.value()))
      break;
    Part.push_back(Entry);
  }
  return Part;
}

std::vector<LogEntry> EntryLog::allEntries() const {
  return {Entries_.begin(), Entries_.end()};
}

LogIndex EntryLog::lastIndexBeforeTermOf(LogIndex Index) const {
  std::optional<Term> Found = termAt(Index);
  LogIndex Candidate = previousIndex(Index);
  while (Candidate >= firstIndex() && termAt(Candidate) == Found)
    Candidate = previousIndex(Candidate);
  return Candidate;
}

void EntryLog::append(LogEntry Entry) {
  JAYBRIDGE_VERIFY(Entries_.empty() || Entry.Index_ == lastIndex().next());
  if (const auto *Voters = std::get_if<VoterSet>(&Entry.Content_))
    Members_.insert_or_assign(Entry.Index_, *Voters);
  Entries_.push_back(std::move(Entry));
}

void EntryLog::truncateFrom(LogIndex Index) {
  JAYBRIDGE_VERIFY(!Snapshot_ || Index > Snapshot_->LastIndex_);
  while (!Entries_.empty() && Entries_.back().Index_ >= Index)
    Entries_.pop_back();
  Members_.erase(Members_.lower_bound(Index), Members_.end());
}

void EntryLog::install(LogSnapshot Snapshot) {
  LogIndex Index = Snapshot.LastIndex_;
  if (termAt(Index) == Snapshot.LastTerm_) {
    while (!Entries_.empty() && Entries_.front().Index_ <= Index)
      Entries_.pop_front();
  } else {
    Entries_.clear();
    Members_.clear();
  }
  Members_.insert_or_assign(Index, Snapshot.Members_);
  dropMembersBefore(Index);
  Snapshot_ = std::move(Snapshot);
}

void EntryLog::compact(LogIndex Index, std::string State) {
  std::optional<Term> Last = termAt(Index);
  JAYBRIDGE_VERIFY(Last && Index > LogIndex());
  Snapshot_ = LogSnapshot{Index, *Last, membersAt(Index), std::move(State)};
  while (!Entries_.empty() &&
         Entries_.front().Index_.value() + RetainedEntryCount <= Index.value())
    Entries_.pop_front();
  dropMembersBefore(Index);
}

const VoterSet &EntryLog::members() const { return Members_.rbegin()->second; }

LogIndex EntryLog::membersIndex() const { return Members_.rbegin()->first; }

const VoterSet &EntryLog::membersAt(LogIndex Index) const {
  auto FirstAfter = Members_.upper_bound(Index);
  JAYBRIDGE_VERIFY(FirstAfter != Members_.begin());
  return std::prev(FirstAfter)->second;
}

void EntryLog::dropMembersBefore(LogIndex Index) {
  auto FirstAfter = Members_.upper_bound(Index);
  JAYBRIDGE_VERIFY(FirstAfter != Members_.begin());
  Members_.erase(Members_.begin(), std::prev(FirstAfter));
}

} // namespace jaybridge
