#include <LibMembership/ServiceHomes.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

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
  std::vector<std::pair<std::uint64_t, const MemberId *>> Best;
  for (const auto &[Id, Hash] : Members_) {
    std::uint64_t Score = mixedScore(Hash, Key.value());
    if (Best.size() == Count.value()) {
      if (Best.empty() || Best.back().first >= Score)
        continue;
      Best.pop_back();
    }
    auto Position = std::find_if(Best.begin(), Best.end(), [&](const auto &E) {
      return E.first < Score;
    });
    Best.insert(Position, {Score, &Id});
  }
  std::vector<MemberId> Chosen;
  Chosen.reserve(Best.size());
  for (const auto &[Score, Id] : Best)
    Chosen.push_back(*Id);
  return Chosen;
}

std::optional<Rank> MemberRanking::rankOf(const MemberId &Id, HomeCount Count,
                                          std::string_view Key) const {
  std::vector<MemberId> Order = first(Count, Key);
  auto Found = std::find(Order.begin(), Order.end(), Id);
  if (Found == Order.end())
    return std::nullopt;
  return Rank(static_cast<std::uint32_t>(Found - Order.begin()));
}

Result<ServiceHomes> ServiceHomes::create(HomeCount PerFailureDomain) {
  constexpr HomeCount Greatest(16);
  if (PerFailureDomain < HomeCount(1) || PerFailureDomain > Greatest)
    return Error{ErrorCode::Invalid, "1 to 16 homes per failure domain",
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
    for (MemberId &Each : Ranking.first(PerFailureDomain_, Service.text()))
      Homes.push_back(std::move(Each));
  return Homes;
}

std::vector<MemberId>
ServiceHomes::homesFor(const ServiceName &Service,
                       const FailureDomain &Domain) const {
  auto Found = Domains_.find(Domain);
  if (Found == Domains_.end())
    return {};
  return Found->second.first(PerFailureDomain_, Service.text());
}

} // namespace jaybridge
