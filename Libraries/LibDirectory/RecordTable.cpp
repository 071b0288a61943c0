#include <LibDirectory/RecordTable.h>

#include <LibCore/Hash.h>

namespace jaybridge {

namespace {

constexpr unsigned LeafShift = 52;
static_assert((1ULL << (64 - LeafShift)) == RecordTable::LeafCount);

// The content is left out: of two records with one version and state neither
// replaces the other, and a difference would be repaired without end.
std::uint64_t digestOfRecord(const InstanceRecord &Record) {
  auto State = static_cast<std::uint64_t>(Record.State_);
  return stableHash(Record.Id_.text(), Record.Version_.value() * 4 + State + 1);
}

} // namespace

bool isNewer(const InstanceRecord &Newer, const InstanceRecord &Older) {
  if (Newer.Version_ != Older.Version_)
    return Newer.Version_ > Older.Version_;
  return Newer.State_ > Older.State_;
}

RecordKey keyOf(const InstanceId &Id) {
  return RecordKey(stableHash(Id.text()));
}

LeafIndex RecordTable::leafOf(RecordKey Key) {
  return LeafIndex(Key.value() >> LeafShift);
}

bool RecordTable::apply(const InstanceRecord &Record, TimePoint Now) {
  RecordKey Key = keyOf(Record.Id_);
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end()) {
    if (Entries_.size() >= MaxRecordCount)
      return false;
    Found = Entries_.emplace(Key, Entry{}).first;
  } else if (Found->second.Record_.Id_ != Record.Id_ ||
             !isNewer(Record, Found->second.Record_)) {
    return false;
  }
  Found->second.Record_ = Record;
  setDigest(Key, Found->second, digestOfRecord(Record));
  if (!isPresent(Record.State_))
    DigestedTombstones_.push_back({Now, Key, Record.Version_});
  return true;
}

const InstanceRecord *RecordTable::find(RecordKey Key) const {
  auto Found = Entries_.find(Key);
  return Found == Entries_.end() ? nullptr : &Found->second.Record_;
}

void RecordTable::expire(TimePoint Now) {
  auto FindSame = [&](const Tombstone &Stone) {
    auto Found = Entries_.find(Stone.Key_);
    bool IsSame = Found != Entries_.end() &&
                  !isPresent(Found->second.Record_.State_) &&
                  Found->second.Record_.Version_ == Stone.Version_;
    return IsSame ? Found : Entries_.end();
  };
  while (!DigestedTombstones_.empty() &&
         DigestedTombstones_.front().Since_ + TombstoneDigestDuration <= Now) {
    Tombstone Stone = DigestedTombstones_.front();
    DigestedTombstones_.pop_front();
    if (auto Found = FindSame(Stone); Found != Entries_.end()) {
      setDigest(Stone.Key_, Found->second, 0);
      RetainedTombstones_.push_back(Stone);
    }
  }
  while (!RetainedTombstones_.empty() && RetainedTombstones_.front().Since_ + TombstoneRetention <= Now) {
    if (auto Found = FindSame(RetainedTombstones_.front()); Found != Entries_.end())
      Entries_.erase(Found);
    RetainedTombstones_.pop_front();
  }
}

RecordDigest RecordTable::digestOf(RecordKey Key) const {
  auto Found = Entries_.find(Key);
  return RecordDigest(Found == Entries_.end() ? 0 : Found->second.Digest_);
}

std::vector<RecordDigest> RecordTable::groupDigests() const {
  std::vector<std::uint64_t> Sums(GroupCount, 0);
  for (std::size_t Leaf = 0; Leaf < LeafCount; ++Leaf)
    Sums[Leaf / LeavesPerGroup] ^= Leaves_[Leaf];
  return {Sums.begin(), Sums.end()};
}

std::vector<RecordDigest> RecordTable::leafDigestsOf(GroupIndex Group) const {
  if (Group.value() >= GroupCount)
    return {};
  auto First = Leaves_.begin() +
               static_cast<std::ptrdiff_t>(Group.value() * LeavesPerGroup);
  return {First, First + LeavesPerGroup};
}

std::vector<KeyDigest> RecordTable::keyDigestsOf(LeafIndex First,
                                            LeafIndex Last) const {
  std::vector<KeyDigest> Marks;
  auto [Each, End] = rangeOf(First, Last);
  for (; Each != End; ++Each)
    if (Each->second.Digest_ != 0)
      Marks.push_back({Each->first, RecordDigest(Each->second.Digest_)});
  return Marks;
}

std::vector<RecordKey> RecordTable::presentKeysOf(LeafIndex Leaf) const {
  std::vector<RecordKey> Keys;
  auto [Each, End] = rangeOf(Leaf, Leaf);
  for (; Each != End; ++Each)
    if (isPresent(Each->second.Record_.State_))
      Keys.push_back(Each->first);
  return Keys;
}

std::vector<InstanceRecord>
RecordTable::recordsAfter(std::optional<RecordKey> After, std::size_t Limit,
                          bool &IsLast) const {
  std::vector<InstanceRecord> Records;
  auto Each = After ? Entries_.upper_bound(*After) : Entries_.begin();
  for (; Each != Entries_.end() && Records.size() < Limit; ++Each)
    if (Each->second.Digest_ != 0)
      Records.push_back(Each->second.Record_);
  IsLast = Each == Entries_.end();
  return Records;
}

void RecordTable::setDigest(RecordKey Key, Entry &Changed,
                            std::uint64_t Digest) {
  std::uint64_t Difference = Changed.Digest_ ^ Digest;
  Leaves_[leafOf(Key).value()] ^= Difference;
  Root_ ^= Difference;
  Changed.Digest_ = Digest;
}

std::pair<RecordTable::Entries::const_iterator,
          RecordTable::Entries::const_iterator>
RecordTable::rangeOf(LeafIndex First, LeafIndex Last) const {
  if (First > Last || Last.value() >= LeafCount)
    return {Entries_.end(), Entries_.end()};
  auto Begin = Entries_.lower_bound(RecordKey(First.value() << LeafShift));
  auto End =
      Last.value() + 1 == LeafCount
          ? Entries_.end()
          : Entries_.lower_bound(RecordKey((Last.value() + 1) << LeafShift));
  return {Begin, End};
}

} // namespace jaybridge
