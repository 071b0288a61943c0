#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibMembership/MembershipMessages.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// Stores the records of all other members. Newer records replace older ones,
/// suspicions have a deadline, and members that died or left are kept for
/// DeadRetention.
class MemberTable {
public:
  /// Limits memory. About three times the fleet size expected in two years.
  static constexpr std::size_t MaxMemberCount = 24'000;
  /// Average number of members per bucket; keeps a repair message near 2 KB.
  static constexpr std::size_t MembersPerBucket = 24;
  /// Dead members are kept this long, so that the sides of a partition that
  /// lasts an hour find each other without seeds.
  static constexpr Duration DeadRetention = 2h;

  /// Stores the record if the member is unknown or the record is newer. False
  /// when it was not stored, also because MaxMemberCount is reached.
  bool apply(const MemberRecord &Record, TimePoint Now);

  const MemberRecord *find(const MemberId &Id) const;
  bool hasLiveMemberAt(const Endpoint &Address) const;
  std::size_t liveCount() const { return LiveCount_; }
  std::size_t size() const { return Entries_.size(); }

  /// Ids of all live members in random order, for one round of probes.
  std::vector<MemberId> shuffledLiveMembers(Random &Generator) const;
  std::optional<MemberId> randomDeadMember(Random &Generator) const;

  /// Up to `Limit` records with ids after `After`, in order of ids. Sets
  /// `IsLast` when no record follows.
  MemberUpdates recordsAfter(const MemberId &After, std::size_t Limit,
                             bool &IsLast) const;

  MemberBucket randomBucket(Random &Generator) const;
  /// Hash over the live members of the bucket, including the own record `Self`.
  BucketHash bucketHash(MemberBucket Bucket, const MemberRecord &Self) const;
  /// Records of the bucket, including the own record `Self`; truncated if the
  /// bucket is far above the average size.
  MemberUpdates bucketRecords(MemberBucket Bucket,
                              const MemberRecord &Self) const;

  void setSuspicionDeadline(const MemberId &Id, TimePoint Deadline);
  std::optional<TimePoint> nextSuspicionDeadline() const;
  /// Removes and returns one suspicion whose deadline has passed, if any.
  std::optional<MemberId> takeExpiredSuspicion(TimePoint Now);
  /// Sets the deadline of all suspicions to `Deadline`.
  void postponeSuspicions(TimePoint Deadline);
  /// Removes members that died or left more than DeadRetention ago.
  void removeExpiredRecords(TimePoint Now);

private:
  struct Entry {
    MemberRecord Record_;
    std::uint64_t IdHash_ = 0;
    TimePoint ChangedAt_;
    std::optional<TimePoint> SuspicionDeadline_;
  };

  void clearSuspicion(Entry &Changed);

  std::map<MemberId, Entry> Entries_;
  std::set<std::pair<TimePoint, MemberId>> Suspicions_;
  std::set<MemberId> DeadIds_;
  std::size_t LiveCount_ = 0;
};

} // namespace jaybridge
