#include <LibMembership/ServiceHomes.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Mixes the hashes by the finalizer of SplitMix64.
std::uint64_t mixedScore(std::uint64_t MemberHash, std::uint64_t KeyHash) {
  std::uint64_t Mixed = MemberHash ^ KeyHash;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace

void MemberRanking::add(const MemberId &Id) {
  Members_.emplace(Id, stableHash(Id.text()));
}

void MemberRanking::remove(const MemberId &Id) { Members_.erase(Id); }

RankKey MemberRanking::keyOf(std::string_view Key) {
  return RankKey(stableHash(Key));
}

RankScore MemberRanking::scoreOf(const MemberId &Id, RankKey Key) {
  return RankScore(mixedScore(stableHash(Id.text()), Key.value()));
}

std::vector<MemberId> MemberRanking::first(HomeCount Count,
                                           std::string_view Key) const {
  return first(Count, keyOf(Key));
}

std::vector<MemberId> MemberRanking::first(HomeCount Count, RankKey Key) const {
  std::vector<std::pair<std::uint64_t, const MemberId *>> Top;
  for (const auto &[Id, Hash] : Members_) {
    std::uint64_t Score = mixedScore(Hash, Key.value());
    if (Top.size() == Count.value()) {
      if (Top.empty() || Top.back().first >= Score)
        continue;
      Top.pop_back();
    }
    auto Position =
        std::find_if(Top.begin(), Top.end(),
                     [&](const auto &Ranked) { return Ranked.first < Score; });
    Top.insert(Position, {Score, &Id});
  }
  std::vector<MemberId> Chosen;
  Chosen.reserve(Top.size());
  for (const auto &[Score, Id] : Top)
    Chosen.push_back(*Id);
  return Chosen;
}

std::optional<Rank> MemberRanking::rankOf(const MemberId &Id, HomeCount Count,
                                          std::string_view Key) const {
  std::vector<MemberId> Ranked = first(Count, Key);
  auto Found = std::find(Ranked.begin(), Ranked.end(), Id);
  if (Found == Ranked.end())
    return std::nullopt;
  return Rank(static_cast<std::uint32_t>(Found - Ranked.begin()));
}

Result<ServiceHomes> ServiceHomes::create(HomeCount PerFailureDomain) {
  constexpr HomeCount MaxHomes(16);
  if (PerFailureDomain < HomeCount(1) || PerFailureDomain > MaxHomes)
    return Error{ErrorCode::Invalid,
                 "the number of homes per failure domain must be from 1 to 16",
                 "homes"};
  return ServiceHomes(PerFailureDomain);
}

void ServiceHomes::apply(const MemberRecord &Record) {
  if (auto Known = DomainOf_.find(Record.Id_); Known != DomainOf_.end()) {
    MemberRanking &Ranking = Domains_[Known->second];
    Ranking.remove(Record.Id_);
    if (Ranking.size() == 0)
      Domains_.erase(Known->second);
    DomainOf_.erase(Known);
  }
  if (!isLive(Record.State_))
    return;
  DomainOf_.emplace(Record.Id_, Record.Domain_);
  Domains_[Record.Domain_].add(Record.Id_);
}

std::vector<MemberId> ServiceHomes::homesFor(const ServiceName &Service) const {
  std::vector<MemberId> Homes;
  for (const auto &[Domain, Ranking] : Domains_)
    for (MemberId &Home : Ranking.first(HomesPerDomain_, Service.text()))
      Homes.push_back(std::move(Home));
  return Homes;
}

std::vector<MemberId>
ServiceHomes::homesFor(const ServiceName &Service,
                       const FailureDomain &Domain) const {
  auto Found = Domains_.find(Domain);
  if (Found == Domains_.end())
    return {};
  return Found->second.first(HomesPerDomain_, Service.text());
}

} // namespace jaybridge
