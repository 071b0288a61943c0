#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibMembership/MembershipMessages.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// The records of all members but the own one. Newer records replace older
/// ones, suspicions have a deadline, and dead members are kept for a while.
class MemberTable {
public:
  /// Bound of the memory; about three times the size expected in two years.
  static constexpr std::size_t GreatestMemberCount = 24'000;
  /// Members of a bucket, so that a repair message stays near 2 KB.
  static constexpr std::size_t MembersPerBucket = 24;
  /// Dead members are remembered so that the sides of a partition of an hour
  /// find each other without seeds.
  static constexpr Duration DeadRetention = 2h;

  /// True when the record was new or newer and has been stored.
  bool apply(const MemberRecord &Record, TimePoint Now);

  const MemberRecord *find(const MemberId &Id) const;
  bool hasLiveAt(const Endpoint &Address) const;
  std::size_t liveCount() const { return LiveCount_; }
  std::size_t size() const { return Entries_.size(); }

  /// Ids in the order of the next round of probes: each live member once.
  std::vector<MemberId> shuffledLive(Random &Numbers) const;
  std::optional<MemberId> randomDead(Random &Numbers) const;

  /// Up to `Limit` records that follow `After` in the order of ids.
  MemberUpdates recordsAfter(const MemberId &After, std::size_t Limit,
                             bool &IsLast) const;

  MemberBucket randomBucket(Random &Numbers) const;
  BucketHash hashOf(MemberBucket Bucket, const MemberRecord &Self) const;
  MemberUpdates recordsOf(MemberBucket Bucket, const MemberRecord &Self) const;

  void suspectUntil(const MemberId &Id, TimePoint Deadline);
  std::optional<TimePoint> nextSuspicionEnd() const;
  /// Takes one suspicion that has run out.
  std::optional<MemberId> takeEndedSuspicion(TimePoint Now);
  /// Gives every suspicion the same new deadline.
  void postponeSuspicions(TimePoint Deadline);
  void forgetDead(TimePoint Now);

private:
  struct Entry {
    MemberRecord Record_;
    std::uint64_t IdHash_ = 0;
    TimePoint ChangedAt_;
    std::optional<TimePoint> SuspectedUntil_;
  };

  void clearSuspicion(Entry &Changed);

  std::map<MemberId, Entry> Entries_;
  std::set<std::pair<TimePoint, MemberId>> Suspicions_;
  std::set<MemberId> Dead_;
  std::size_t LiveCount_ = 0;
};

} // namespace jaybridge
