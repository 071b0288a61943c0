#include <LibDirectory/LeafRegistrars.h>

#include <utility>

namespace jaybridge {

namespace {

RankKey rankKeyOf(std::size_t Leaf) {
  // 2^64 divided by the golden ratio (Fibonacci hashing).
  constexpr std::uint64_t GoldenRatioMultiplier = 0x9e3779b97f4a7c15ULL;
  return RankKey((Leaf + 1) * GoldenRatioMultiplier);
}

} // namespace

void LeafRegistrars::add(const MemberId &Id) {
  Ranking_.add(Id);
  for (std::size_t Leaf = 0; Leaf < Leaves_.size(); ++Leaf) {
    RankedRegistrars &Ranked = Leaves_[Leaf];
    RankedRegistrar Candidate{MemberRanking::scoreOf(Id, rankKeyOf(Leaf)), Id};
    bool IsRegistered = Ranked[0].Id_ == Id || Ranked[1].Id_ == Id;
    bool IsRankedHigher =
        Ranked[1].Id_.isEmpty() || Candidate.Score_ > Ranked[1].Score_;
    if (IsRegistered || !IsRankedHigher)
      continue;
    Ranked[1] = std::move(Candidate);
    if (Ranked[0].Id_.isEmpty() || Ranked[1].Score_ > Ranked[0].Score_)
      std::swap(Ranked[0], Ranked[1]);
    ChangedLeaves_.insert(LeafIndex(Leaf));
  }
}

void LeafRegistrars::remove(const MemberId &Id) {
  Ranking_.remove(Id);
  for (std::size_t Leaf = 0; Leaf < Leaves_.size(); ++Leaf) {
    RankedRegistrars &Ranked = Leaves_[Leaf];
    if (Ranked[0].Id_ != Id && Ranked[1].Id_ != Id)
      continue;
    RankKey Key = rankKeyOf(Leaf);
    std::vector<MemberId> TopMembers =
        Ranking_.first(HomeCount(RegistrarsPerLeaf), Key);
    Ranked = RankedRegistrars{};
    for (std::size_t I = 0; I < TopMembers.size(); ++I)
      Ranked[I] = {MemberRanking::scoreOf(TopMembers[I], Key), TopMembers[I]};
    ChangedLeaves_.insert(LeafIndex(Leaf));
  }
}

std::vector<MemberId> LeafRegistrars::registrarsOf(LeafIndex Leaf) const {
  std::vector<MemberId> Ids;
  for (const RankedRegistrar &Registrar : Leaves_[Leaf.value()])
    if (!Registrar.Id_.isEmpty())
      Ids.push_back(Registrar.Id_);
  return Ids;
}

bool LeafRegistrars::isRegistrar(const MemberId &Id, LeafIndex Leaf) const {
  const RankedRegistrars &Ranked = Leaves_[Leaf.value()];
  return Ranked[0].Id_ == Id || Ranked[1].Id_ == Id;
}

std::set<LeafIndex> LeafRegistrars::takeChangedLeaves() {
  return std::exchange(ChangedLeaves_, {});
}

} // namespace jaybridge
