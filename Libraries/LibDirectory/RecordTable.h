#pragma once

#include <LibCore/Time.h>
#include <LibDirectory/DirectoryMessages.h>

#include <deque>
#include <map>

namespace jaybridge {

/// True when `Newer` replaces `Older` of the same instance.
bool isNewer(const InstanceRecord &Newer, const InstanceRecord &Older);

/// A serving or draining instance; the others are kept as tombstones.
constexpr bool isPresent(InstanceState State) {
  return State == InstanceState::Serving || State == InstanceState::Draining;
}

RecordKey keyOf(const InstanceId &Id);

/// All records in the order of their keys, with digests of 4,096 leaves.
class RecordTable {
public:
  static constexpr std::size_t GroupCount = 64;
  static constexpr std::size_t LeavesPerGroup = 64;
  static constexpr std::size_t LeafCount = GroupCount * LeavesPerGroup;
  /// Bound of the memory; twice the size expected in two years.
  static constexpr std::size_t MaxRecordCount = 360'000;
  /// A tombstone takes part in comparisons for this long, and is dropped well
  /// after that, so that no peer still offers it.
  static constexpr Duration TombstoneDigestDuration = 2min;
  static constexpr Duration TombstoneRetention = 10min;

  RecordTable() : Leaves_(LeafCount, 0) {}

  /// True when the record was new or newer and has been stored.
  bool apply(const InstanceRecord &Record, TimePoint Now);
  const InstanceRecord *find(RecordKey Key) const;
  std::size_t size() const { return Entries_.size(); }
  /// Drops what tombstones have outlived.
  void expire(TimePoint Now);

  RecordDigest rootDigest() const { return RecordDigest(Root_); }
  RecordDigest digestOf(RecordKey Key) const;
  std::vector<RecordDigest> groupDigests() const;
  std::vector<RecordDigest> leafDigestsOf(GroupIndex Group) const;
  /// Marks of the leaves from `First` to `Last`, both included.
  std::vector<KeyDigest> keyDigestsOf(LeafIndex First, LeafIndex Last) const;
  std::vector<RecordKey> presentKeysOf(LeafIndex Leaf) const;
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
    TimePoint Since_;
    RecordKey Key_;
    Incarnation Version_;
  };
  using Entries = std::map<RecordKey, Entry>;

  void setDigest(RecordKey Key, Entry &Changed, std::uint64_t Digest);
  std::pair<Entries::const_iterator, Entries::const_iterator>
  rangeOf(LeafIndex First, LeafIndex Last) const;

  Entries Entries_;
  std::vector<std::uint64_t> Leaves_;
  std::uint64_t Root_ = 0;
  std::deque<Tombstone> DigestedTombstones_;
  std::deque<Tombstone> RetainedTombstones_;
};

} // namespace jaybridge
