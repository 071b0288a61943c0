#include <LibDirectory/RecordTable.h>

#include <LibCore/Hash.h>

namespace jaybridge {

namespace {

constexpr unsigned LeafShift = 52;
static_assert((1ULL << (64 - LeafShift)) == RecordTable::LeafCount);

// Excludes the other fields of the record: neither of two records with the same
// version and state replaces the other, so a difference in those fields would
// be repaired endlessly.
std::uint64_t digestOfRecord(const InstanceRecord &Record) {
  auto State = static_cast<std::uint64_t>(Record.State_);
  return stableHash(Record.Id_.text(), Record.Version_.value() * 4 + State + 1);
}

} // namespace

bool isNewer(const InstanceRecord &Candidate, const InstanceRecord &Current) {
  if (Candidate.Version_ != Current.Version_)
    return Candidate.Version_ > Current.Version_;
  return Candidate.State_ > Current.State_;
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
  auto FindUnchanged = [&](const Tombstone &Expired) {
    auto Found = Entries_.find(Expired.Key_);
    bool IsUnchanged = Found != Entries_.end() &&
                       !isPresent(Found->second.Record_.State_) &&
                       Found->second.Record_.Version_ == Expired.Version_;
    return IsUnchanged ? Found : Entries_.end();
  };
  while (!DigestedTombstones_.empty() &&
         DigestedTombstones_.front().CreatedAt_ + TombstoneDigestDuration <=
             Now) {
    Tombstone Expired = DigestedTombstones_.front();
    DigestedTombstones_.pop_front();
    if (auto Found = FindUnchanged(Expired); Found != Entries_.end()) {
      setDigest(Expired.Key_, Found->second, 0);
      RetainedTombstones_.push_back(Expired);
    }
  }
  while (!RetainedTombstones_.empty() &&
         RetainedTombstones_.front().CreatedAt_ + TombstoneRetention <= Now) {
    if (auto Found = FindUnchanged(RetainedTombstones_.front());
        Found != Entries_.end())
      Entries_.erase(Found);
    RetainedTombstones_.pop_front();
  }
}

RecordDigest RecordTable::digestOf(RecordKey Key) const {
  auto Found = Entries_.find(Key);
  return RecordDigest(Found == Entries_.end() ? 0 : Found->second.Digest_);
}

std::vector<RecordDigest> RecordTable::groupDigests() const {
  std::vector<std::uint64_t> GroupSums(GroupCount, 0);
  for (std::size_t Leaf = 0; Leaf < LeafCount; ++Leaf)
    GroupSums[Leaf / LeavesPerGroup] ^= Leaves_[Leaf];
  return {GroupSums.begin(), GroupSums.end()};
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
  std::vector<KeyDigest> Digests;
  auto [Position, End] = rangeOf(First, Last);
  for (; Position != End; ++Position)
    if (Position->second.Digest_ != 0)
      Digests.push_back(
          {Position->first, RecordDigest(Position->second.Digest_)});
  return Digests;
}

std::vector<RecordKey> RecordTable::presentKeysOf(LeafIndex Leaf) const {
  std::vector<RecordKey> Keys;
  auto [Position, End] = rangeOf(Leaf, Leaf);
  for (; Position != End; ++Position)
    if (isPresent(Position->second.Record_.State_))
      Keys.push_back(Position->first);
  return Keys;
}

std::vector<InstanceRecord>
RecordTable::recordsAfter(std::optional<RecordKey> After, std::size_t Limit,
                          bool &IsLast) const {
  std::vector<InstanceRecord> Records;
  auto Position = After ? Entries_.upper_bound(*After) : Entries_.begin();
  for (; Position != Entries_.end() && Records.size() < Limit; ++Position)
    if (Position->second.Digest_ != 0)
      Records.push_back(Position->second.Record_);
  IsLast = Position == Entries_.end();
  return Records;
}

void RecordTable::setDigest(RecordKey Key, Entry &Target,
                            std::uint64_t Digest) {
  std::uint64_t Difference = Target.Digest_ ^ Digest;
  Leaves_[leafOf(Key).value()] ^= Difference;
  Root_ ^= Difference;
  Target.Digest_ = Digest;
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
