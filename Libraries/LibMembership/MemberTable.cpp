#include <LibMembership/MemberTable.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

bool isInBucket(std::uint64_t IdHash, MemberBucket Bucket) {
  return IdHash % std::max(1U, Bucket.BucketCount_.value()) ==
         Bucket.Index_.value();
}

// Suspicions do not change the hash: they are short-lived and would trigger
// needless repairs.
std::uint64_t recordHash(const MemberRecord &Record) {
  return isLive(Record.State_)
             ? stableHash(Record.Id_.text(), Record.Incarnation_.value())
             : 0;
}

} // namespace

bool MemberTable::apply(const MemberRecord &Record, TimePoint Now) {
  auto Found = Entries_.find(Record.Id_);
  if (Found == Entries_.end()) {
    if (Entries_.size() >= MaxMemberCount)
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
    DeadIds_.insert(Record.Id_);
  else
    DeadIds_.erase(Record.Id_);
  return true;
}

const MemberRecord *MemberTable::find(const MemberId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second.Record_;
}

bool MemberTable::hasLiveMemberAt(const Endpoint &Address) const {
  return std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Known) {
    const MemberRecord &Record = Known.second.Record_;
    return isLive(Record.State_) && Record.Address_ == Address;
  });
}

std::vector<MemberId>
MemberTable::shuffledLiveMembers(Random &Generator) const {
  std::vector<MemberId> Order;
  Order.reserve(LiveCount_);
  for (const auto &[Id, Known] : Entries_)
    if (isLive(Known.Record_.State_))
      Order.push_back(Id);
  for (std::size_t I = Order.size(); I > 1; --I)
    std::swap(Order[I - 1], Order[Generator.below(I)]);
  return Order;
}

std::optional<MemberId> MemberTable::randomDeadMember(Random &Generator) const {
  if (DeadIds_.empty())
    return std::nullopt;
  return *std::next(DeadIds_.begin(),
                    static_cast<long>(Generator.below(DeadIds_.size())));
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

MemberBucket MemberTable::randomBucket(Random &Generator) const {
  std::size_t Count = LiveCount_ / MembersPerBucket + 1;
  return {BucketCount(static_cast<std::uint32_t>(Count)),
          BucketIndex(Generator.below(Count))};
}

BucketHash MemberTable::bucketHash(MemberBucket Bucket,
                                   const MemberRecord &Self) const {
  std::uint64_t Hash = 0;
  if (isInBucket(stableHash(Self.Id_.text()), Bucket))
    Hash ^= recordHash(Self);
  for (const auto &[Id, Known] : Entries_)
    if (isInBucket(Known.IdHash_, Bucket))
      Hash ^= recordHash(Known.Record_);
  return BucketHash(Hash);
}

MemberUpdates MemberTable::bucketRecords(MemberBucket Bucket,
                                         const MemberRecord &Self) const {
  constexpr std::size_t MaxRecords = 4 * MembersPerBucket;
  MemberUpdates Records;
  if (isInBucket(stableHash(Self.Id_.text()), Bucket))
    Records.push_back(Self);
  for (const auto &[Id, Known] : Entries_)
    if (isInBucket(Known.IdHash_, Bucket) && Records.size() < MaxRecords)
      Records.push_back(Known.Record_);
  return Records;
}

void MemberTable::setSuspicionDeadline(const MemberId &Id, TimePoint Deadline) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  clearSuspicion(Found->second);
  Found->second.SuspicionDeadline_ = Deadline;
  Suspicions_.emplace(Deadline, Id);
}

std::optional<TimePoint> MemberTable::nextSuspicionDeadline() const {
  if (Suspicions_.empty())
    return std::nullopt;
  return Suspicions_.begin()->first;
}

std::optional<MemberId> MemberTable::takeExpiredSuspicion(TimePoint Now) {
  if (Suspicions_.empty() || Suspicions_.begin()->first > Now)
    return std::nullopt;
  MemberId Id = Suspicions_.begin()->second;
  clearSuspicion(Entries_.at(Id));
  return Id;
}

void MemberTable::postponeSuspicions(TimePoint Deadline) {
  auto Postponed = std::move(Suspicions_);
  Suspicions_.clear();
  for (const auto &[OldDeadline, Id] : Postponed) {
    Entries_.at(Id).SuspicionDeadline_ = Deadline;
    Suspicions_.emplace(Deadline, Id);
  }
}

void MemberTable::removeExpiredRecords(TimePoint Now) {
  for (auto Position = Entries_.begin(); Position != Entries_.end();) {
    if (isLive(Position->second.Record_.State_) ||
        Position->second.ChangedAt_ + DeadRetention > Now) {
      ++Position;
      continue;
    }
    DeadIds_.erase(Position->first);
    Position = Entries_.erase(Position);
  }
}

void MemberTable::clearSuspicion(Entry &Changed) {
  if (!Changed.SuspicionDeadline_)
    return;
  Suspicions_.erase({*Changed.SuspicionDeadline_, Changed.Record_.Id_});
  Changed.SuspicionDeadline_.reset();
}

} // namespace jaybridge
