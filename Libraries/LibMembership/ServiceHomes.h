#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <map>
#include <optional>
#include <string_view>

namespace jaybridge {

/// Homes of a service in each failure domain, and places in a ranking.
using HomeCount = Quantity<struct HomeCountTag, std::uint32_t>;
/// Position of a member in a ranking; 0 is the first.
using Rank = Quantity<struct RankTag, std::uint32_t>;
/// Hash of what members are ranked for.
using RankKey = Ordinal<struct RankKeyTag>;
/// A member's weight for one key; the greatest is ranked first.
using RankScore = Ordinal<struct RankScoreTag>;

/// Members ordered per key by rendezvous hashing (Thaler and Ravishankar
/// 1998): a member that joins or leaves moves only its own share of keys.
class MemberRanking {
public:
  void add(const MemberId &Id);
  void remove(const MemberId &Id);
  std::size_t size() const { return Members_.size(); }

  static RankKey keyOf(std::string_view Key);
  static RankScore scoreOf(const MemberId &Id, RankKey Key);

  std::vector<MemberId> first(HomeCount Count, RankKey Key) const;
  /// The first `Count` members for the key.
  std::vector<MemberId> first(HomeCount Count, std::string_view Key) const;
  /// Place of the member among the first `Count`; none if it is not there.
  std::optional<Rank> rankOf(const MemberId &Id, HomeCount Count,
                             std::string_view Key) const;

private:
  std::map<MemberId, std::uint64_t> Members_;
};

/// Chooses the daemons that decide for a service: a few in each failure
/// domain. Views may differ for a while; homes are no safety mechanism.
class ServiceHomes {
public:
  static Result<ServiceHomes> create(HomeCount PerFailureDomain);

  void apply(const MemberRecord &Record);

  /// Homes of the service, ordered by failure domain and then by rank.
  std::vector<MemberId> homesFor(const ServiceName &Service) const;
  std::vector<MemberId> homesFor(const ServiceName &Service,
                                 const FailureDomain &Domain) const;

private:
  explicit ServiceHomes(HomeCount Count) : PerFailureDomain_(Count) {}

  HomeCount PerFailureDomain_;
  std::map<FailureDomain, MemberRanking> Domains_;
  std::map<MemberId, FailureDomain> DomainOf_;
};

} // namespace jaybridge
