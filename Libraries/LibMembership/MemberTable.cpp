#include <LibMembership/MemberTable.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

bool isInBucket(std::uint64_t IdHash, MemberBucket Bucket) {
  return IdHash % std::max(1U, Bucket.BucketCount_.value()) ==
         Bucket.Index_.value();
}

// Suspicions are left out: they pass, and would start repairs in vain.
std::uint64_t hashOfRecord(const MemberRecord &Record) {
  return isLive(Record.State_)
             ? stableHash(Record.Id_.text(), Record.Version_.value())
             : 0;
}

} // namespace

bool MemberTable::apply(const MemberRecord &Record, TimePoint Now) {
  auto Found = Entries_.find(Record.Id_);
  if (Found == Entries_.end()) {
    if (Entries_.size() >= GreatestMemberCount)
      return false;
    Found = Entries_.emplace(Record.Id_, Entry{}).first;
    Found->second.IdHash_ = stableHash(Record.Id_.text());
  } else if (!isNewer(Record, Found->second.Record_)) {
    return false;
  } else if (isLive(Found->second.Record_.State_)) {
    --LiveCount_;
  }
  Entry &Changed = Found->second;
  clearSuspicion(Changed);
  Changed.Record_ = Record;
  Changed.ChangedAt_ = Now;
  LiveCount_ += isLive(Record.State_) ? 1 : 0;
  if (Record.State_ == MemberState::Dead)
    Dead_.insert(Record.Id_);
  else
    Dead_.erase(Record.Id_);
  return true;
}

const MemberRecord *MemberTable::find(const MemberId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second.Record_;
}

bool MemberTable::hasLiveAt(const Endpoint &Address) const {
  return std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Each) {
    const MemberRecord &Record = Each.second.Record_;
    return isLive(Record.State_) && Record.Address_ == Address;
  });
}

std::vector<MemberId> MemberTable::shuffledLive(Random &Numbers) const {
  std::vector<MemberId> Order;
  Order.reserve(LiveCount_);
  for (const auto &[Id, Each] : Entries_)
    if (isLive(Each.Record_.State_))
      Order.push_back(Id);
  for (std::size_t I = Order.size(); I > 1; --I)
    std::swap(Order[I - 1], Order[Numbers.below(I)]);
  return Order;
}

std::optional<MemberId> MemberTable::randomDead(Random &Numbers) const {
  if (Dead_.empty())
    return std::nullopt;
  return *std::next(Dead_.begin(),
                    static_cast<long>(Numbers.below(Dead_.size())));
}

MemberUpdates MemberTable::recordsAfter(const MemberId &After,
                                        std::size_t Limit, bool &IsLast) const {
  MemberUpdates Records;
  auto Position = Entries_.upper_bound(After);
  for (; Position != Entries_.end() && Records.size() < Limit; ++Position)
    Records.push_back(Position->second.Record_);
  IsLast = Position == Entries_.end();
  return Records;
}

MemberBucket MemberTable::randomBucket(Random &Numbers) const {
  std::size_t Count = LiveCount_ / MembersPerBucket + 1;
  return {BucketCount(static_cast<std::uint32_t>(Count)),
          BucketIndex(Numbers.below(Count))};
}

BucketHash MemberTable::hashOf(MemberBucket Bucket,
                               const MemberRecord &Self) const {
  std::uint64_t Hash = 0;
  if (isInBucket(stableHash(Self.Id_.text()), Bucket))
    Hash ^= hashOfRecord(Self);
  for (const auto &[Id, Each] : Entries_)
    if (isInBucket(Each.IdHash_, Bucket))
      Hash ^= hashOfRecord(Each.Record_);
  return BucketHash(Hash);
}

MemberUpdates MemberTable::recordsOf(MemberBucket Bucket,
                                     const MemberRecord &Self) const {
  constexpr std::size_t GreatestAnswer = 4 * MembersPerBucket;
  MemberUpdates Records;
  if (isInBucket(stableHash(Self.Id_.text()), Bucket))
    Records.push_back(Self);
  for (const auto &[Id, Each] : Entries_)
    if (isInBucket(Each.IdHash_, Bucket) && Records.size() < GreatestAnswer)
      Records.push_back(Each.Record_);
  return Records;
}

void MemberTable::suspectUntil(const MemberId &Id, TimePoint Deadline) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  clearSuspicion(Found->second);
  Found->second.SuspectedUntil_ = Deadline;
  Suspicions_.emplace(Deadline, Id);
}

std::optional<TimePoint> MemberTable::nextSuspicionEnd() const {
  if (Suspicions_.empty())
    return std::nullopt;
  return Suspicions_.begin()->first;
}

std::optional<MemberId> MemberTable::takeEndedSuspicion(TimePoint Now) {
  if (Suspicions_.empty() || Suspicions_.begin()->first > Now)
    return std::nullopt;
  MemberId Id = Suspicions_.begin()->second;
  clearSuspicion(Entries_.at(Id));
  return Id;
}

void MemberTable::postponeSuspicions(TimePoint Deadline) {
  auto Earlier = std::move(Suspicions_);
  Suspicions_.clear();
  for (const auto &[Ignored, Id] : Earlier) {
    Entries_.at(Id).SuspectedUntil_ = Deadline;
    Suspicions_.emplace(Deadline, Id);
  }
}

void MemberTable::forgetDead(TimePoint Now) {
  for (auto Each = Entries_.begin(); Each != Entries_.end();) {
    if (isLive(Each->second.Record_.State_) ||
        Each->second.ChangedAt_ + DeadRetention > Now) {
      ++Each;
      continue;
    }
    Dead_.erase(Each->first);
    Each = Entries_.erase(Each);
  }
}

void MemberTable::clearSuspicion(Entry &Changed) {
  if (!Changed.SuspectedUntil_)
    return;
  Suspicions_.erase({*Changed.SuspectedUntil_, Changed.Record_.Id_});
  Changed.SuspectedUntil_.reset();
}

} // namespace jaybridge
