#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <map>
#include <optional>
#include <string_view>

namespace jaybridge {

/// Number of homes of a service per failure domain, or of members in a ranking.
using HomeCount = Quantity<struct HomeCountTag, std::uint32_t>;
/// Position of a member in a ranking; 0 is the member with the highest score.
using Rank = Quantity<struct RankTag, std::uint32_t>;
/// Hash of the key for which members are ranked.
using RankKey = Ordinal<struct RankKeyTag>;
/// Score of a member for one key; the highest score is ranked first.
using RankScore = Ordinal<struct RankScoreTag>;

/// Ranks members per key by rendezvous hashing (Thaler and Ravishankar 1998). A
/// member that joins or leaves moves only its own share of the keys.
class MemberRanking {
public:
  void add(const MemberId &Id);
  void remove(const MemberId &Id);
  std::size_t size() const { return Members_.size(); }

  static RankKey keyOf(std::string_view Key);
  static RankScore scoreOf(const MemberId &Id, RankKey Key);

  std::vector<MemberId> first(HomeCount Count, RankKey Key) const;
  /// The `Count` members with the highest scores for the key, in order of rank.
  std::vector<MemberId> first(HomeCount Count, std::string_view Key) const;
  /// Rank of the member if it is among the first `Count` for the key.
  std::optional<Rank> rankOf(const MemberId &Id, HomeCount Count,
                             std::string_view Key) const;

private:
  /// Members and the hashes of their ids.
  std::map<MemberId, std::uint64_t> Members_;
};

/// Chooses the homes of a service: a few daemons in each failure domain,
/// to which the other daemons send the messages about the service. Members may
/// temporarily have different views of the fleet, so exclusive decisions must
/// not rely on homes.
class ServiceHomes {
public:
  /// Error unless there are 1 to 16 homes per failure domain.
  static Result<ServiceHomes> create(HomeCount PerFailureDomain);

  /// Adds, moves or removes the member according to its record.
  void apply(const MemberRecord &Record);

  /// Homes of the service, ordered by failure domain and then by rank.
  std::vector<MemberId> homesFor(const ServiceName &Service) const;
  /// Homes of the service in one failure domain, ordered by rank.
  std::vector<MemberId> homesFor(const ServiceName &Service,
                                 const FailureDomain &Domain) const;

private:
  explicit ServiceHomes(HomeCount Count) : HomesPerDomain_(Count) {}

  HomeCount HomesPerDomain_;
  std::map<FailureDomain, MemberRanking> Domains_;
  std::map<MemberId, FailureDomain> DomainOf_;
};

} // namespace jaybridge
