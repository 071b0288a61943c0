#pragma once

#include <LibControl/FleetMessages.h>
#include <LibMembership/ServiceHomes.h>

#include <map>

namespace jaybridge {

/// Selects the homes that this daemon forwards the requests of each service to.
/// Membership changes are batched for a short time, so that a rolling restart
/// does not recompute the homes of all services for each membership message.
class HomeTable {
public:
  static constexpr Duration BatchInterval = 200ms;

  HomeTable(MemberId Self, FailureDomain Domain, ServiceHomes Homes)
      : Self_(std::move(Self)), Domain_(std::move(Domain)),
        Homes_(std::move(Homes)) {}

  /// Must be called for this daemon's own record too.
  void apply(const MemberRecord &Record, TimePoint Now);
  void setServices(const std::vector<ServicePolicy> &Policies, TimePoint Now);

  void advance(TimePoint Now, std::vector<FleetEffect> &Out);
  std::optional<TimePoint> nextDeadline() const { return UpdateAt_; }

private:
  /// Homes to forward to, those in this daemon's failure domain first; empty if
  /// this daemon is a home itself.
  std::vector<MemberId> preferredHomes(const ServiceName &Service) const;

  MemberId Self_;
  FailureDomain Domain_;
  ServiceHomes Homes_;
  std::map<ServiceName, std::vector<MemberId>> PreferredHomes_;
  std::optional<TimePoint> UpdateAt_;
};

} // namespace jaybridge
