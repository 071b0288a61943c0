#pragma once

#include <LibDirectory/RecordTable.h>
#include <LibMembership/ServiceHomes.h>

#include <array>
#include <set>

namespace jaybridge {

/// The two registrars of each leaf of the directory, by rendezvous hashing.
/// Leaves rather than instances are ranked, so that a change of one member
/// costs one comparison per leaf at any number of instances.
class LeafRegistrars {
public:
  static constexpr std::size_t RegistrarsPerLeaf = 2;

  LeafRegistrars() : Leaves_(RecordTable::LeafCount) {}

  void add(const MemberId &Id);
  void remove(const MemberId &Id);

  /// At most two members, the first ranked first.
  std::vector<MemberId> registrarsOf(LeafIndex Leaf) const;
  bool isRegistrar(const MemberId &Id, LeafIndex Leaf) const;
  /// Leaves whose registrars changed since the last call.
  std::set<LeafIndex> takeChangedLeaves();

private:
  struct RankedRegistrar {
    RankScore Score_;
    MemberId Id_;
  };
  using RankedRegistrars = std::array<RankedRegistrar, RegistrarsPerLeaf>;

  MemberRanking Ranking_;
  std::vector<RankedRegistrars> Leaves_;
  std::set<LeafIndex> Changed_;
};

} // namespace jaybridge
