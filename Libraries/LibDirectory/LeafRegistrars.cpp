#include <LibDirectory/LeafRegistrars.h>

#include <utility>

namespace jaybridge {

namespace {

RankKey rankKeyOf(std::size_t Leaf) {
  constexpr std::uint64_t Spread = 0x9e3779b97f4a7c15ULL;
  return RankKey((Leaf + 1) * Spread);
}

} // namespace

void LeafRegistrars::add(const MemberId &Id) {
  Ranking_.add(Id);
  for (std::size_t Leaf = 0; Leaf < Leaves_.size(); ++Leaf) {
    RankedRegistrars &Taken = Leaves_[Leaf];
    RankedRegistrar New{MemberRanking::scoreOf(Id, rankKeyOf(Leaf)), Id};
    bool IsSeated = Taken[0].Id_ == Id || Taken[1].Id_ == Id;
    bool IsBetter = Taken[1].Id_.isEmpty() || New.Score_ > Taken[1].Score_;
    if (IsSeated || !IsBetter)
      continue;
    Taken[1] = std::move(New);
    if (Taken[0].Id_.isEmpty() || Taken[1].Score_ > Taken[0].Score_)
      std::swap(Taken[0], Taken[1]);
    Changed_.insert(LeafIndex(Leaf));
  }
}

void LeafRegistrars::remove(const MemberId &Id) {
  Ranking_.remove(Id);
  for (std::size_t Leaf = 0; Leaf < Leaves_.size(); ++Leaf) {
    RankedRegistrars &Taken = Leaves_[Leaf];
    if (Taken[0].Id_ != Id && Taken[1].Id_ != Id)
      continue;
    RankKey Key = rankKeyOf(Leaf);
    std::vector<MemberId> Best = Ranking_.first(HomeCount(RegistrarsPerLeaf), Key);
    Taken = RankedRegistrars{};
    for (std::size_t I = 0; I < Best.size(); ++I)
      Taken[I] = {MemberRanking::scoreOf(Best[I], Key), Best[I]};
    Changed_.insert(LeafIndex(Leaf));
  }
}

std::vector<MemberId> LeafRegistrars::registrarsOf(LeafIndex Leaf) const {
  std::vector<MemberId> Ids;
  for (const RankedRegistrar &Each : Leaves_[Leaf.value()])
    if (!Each.Id_.isEmpty())
      Ids.push_back(Each.Id_);
  return Ids;
}

bool LeafRegistrars::isRegistrar(const MemberId &Id, LeafIndex Leaf) const {
  const RankedRegistrars &Taken = Leaves_[Leaf.value()];
  return Taken[0].Id_ == Id || Taken[1].Id_ == Id;
}

std::set<LeafIndex> LeafRegistrars::takeChangedLeaves() {
  return std::exchange(Changed_, {});
}

} // namespace jaybridge
