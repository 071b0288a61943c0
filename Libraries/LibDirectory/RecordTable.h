#pragma once

#include <LibCore/Time.h>
#include <LibDirectory/DirectoryMessages.h>

#include <deque>
#include <map>

namespace jaybridge {

/// Whether `Candidate` replaces `Current` of the same instance: a higher
/// incarnation, or the same incarnation and a later state.
bool isNewer(const InstanceRecord &Candidate, const InstanceRecord &Current);

/// Whether instances in this state exist, serving or draining. Records in the
/// other states are tombstones.
constexpr bool isPresent(InstanceState State) {
  return State == InstanceState::Serving || State == InstanceState::Draining;
}

RecordKey keyOf(const InstanceId &Id);

/// All instance records ordered by key, with a hash tree of three levels over
/// them (root, 64 groups, 4,096 leaves) to find the differences of two tables.
class RecordTable {
public:
  static constexpr std::size_t GroupCount = 64;
  static constexpr std::size_t LeavesPerGroup = 64;
  static constexpr std::size_t LeafCount = GroupCount * LeavesPerGroup;
  /// Bounds the memory; twice the size expected within two years.
  static constexpr std::size_t MaxRecordCount = 360'000;
  /// A tombstone takes part in digests for this long. It is removed much later,
  /// when no peer sends it any more.
  static constexpr Duration TombstoneDigestDuration = 2min;
  static constexpr Duration TombstoneRetention = 10min;

  RecordTable() : Leaves_(LeafCount, 0) {}

  /// Stores the record if it is unknown or newer than the stored one. False
  /// when it is not, or when the table is full or has another instance with
  /// this key.
  bool apply(const InstanceRecord &Record, TimePoint Now);
  const InstanceRecord *find(RecordKey Key) const;
  std::size_t size() const { return Entries_.size(); }
  /// Removes expired tombstones from the digests and later from the table.
  void expire(TimePoint Now);

  RecordDigest rootDigest() const { return RecordDigest(Root_); }
  RecordDigest digestOf(RecordKey Key) const;
  std::vector<RecordDigest> groupDigests() const;
  std::vector<RecordDigest> leafDigestsOf(GroupIndex Group) const;
  /// Digests of the records in the leaves from `First` to `Last`, inclusive.
  std::vector<KeyDigest> keyDigestsOf(LeafIndex First, LeafIndex Last) const;
  /// Keys of the serving and draining instances in the leaf.
  std::vector<RecordKey> presentKeysOf(LeafIndex Leaf) const;
  /// One page of at most `Limit` records that follow `After`, or from the first
  /// record without it. Sets `IsLast` when no records remain.
  std::vector<InstanceRecord> recordsAfter(std::optional<RecordKey> After,
                                           std::size_t Limit,
                                           bool &IsLast) const;

  static LeafIndex leafOf(RecordKey Key);

private:
  struct Entry {
    InstanceRecord Record_;
    std::uint64_t Digest_ = 0;
  };
  struct Tombstone {
    TimePoint CreatedAt_;
    RecordKey Key_;
    Incarnation Version_;
  };
  using Entries = std::map<RecordKey, Entry>;

  void setDigest(RecordKey Key, Entry &Target, std::uint64_t Digest);
  std::pair<Entries::const_iterator, Entries::const_iterator>
  rangeOf(LeafIndex First, LeafIndex Last) const;

  Entries Entries_;
  std::vector<std::uint64_t> Leaves_;
  std::uint64_t Root_ = 0;
  std::deque<Tombstone> DigestedTombstones_;
  std::deque<Tombstone> RetainedTombstones_;
};

} // namespace jaybridge
