#pragma once

#include <LibDirectory/RecordTable.h>
#include <LibMembership/ServiceHomes.h>

#include <array>
#include <set>

namespace jaybridge {

/// Assigns two registrars, the members that hold the leases of its instances,
/// to each leaf of the directory by rendezvous hashing. Members are ranked per
/// leaf rather than per instance, so that a membership change costs one
/// comparison per leaf, independent of the number of instances.
class LeafRegistrars {
public:
  static constexpr std::size_t RegistrarsPerLeaf = 2;

  LeafRegistrars() : Leaves_(RecordTable::LeafCount) {}

  void add(const MemberId &Id);
  void remove(const MemberId &Id);

  /// At most two members, highest rank first.
  std::vector<MemberId> registrarsOf(LeafIndex Leaf) const;
  bool isRegistrar(const MemberId &Id, LeafIndex Leaf) const;
  /// Returns and clears the leaves whose registrars changed since the last
  /// call.
  std::set<LeafIndex> takeChangedLeaves();

private:
  struct RankedRegistrar {
    RankScore Score_;
    MemberId Id_;
  };
  using RankedRegistrars = std::array<RankedRegistrar, RegistrarsPerLeaf>;

  MemberRanking Ranking_;
  std::vector<RankedRegistrars> Leaves_;
  std::set<LeafIndex> ChangedLeaves_;
};

} // namespace jaybridge
