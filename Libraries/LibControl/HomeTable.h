#pragma once

#include <LibControl/FleetMessages.h>
#include <LibMembership/ServiceHomes.h>

#include <map>

namespace jaybridge {

/// Where this daemon forwards the requests of each service. Changes of members
/// are collected for a moment, so that a rolling restart does not choose the
/// homes of all services anew with each message.
class HomeTable {
public:
  static constexpr Duration SettleTime = 200ms;

  HomeTable(MemberId Self, FailureDomain Domain, ServiceHomes Homes)
      : Self_(std::move(Self)), Domain_(std::move(Domain)),
        Homes_(std::move(Homes)) {}

  /// The own record has to be applied too.
  void apply(const MemberRecord &Record, TimePoint Now);
  void setServices(const std::vector<ServicePolicy> &Policies, TimePoint Now);

  void advance(TimePoint Now, std::vector<FleetEffect> &Out);
  std::optional<TimePoint> nextDeadline() const { return ChooseAt_; }

private:
  /// Homes to forward to, nearest first; empty when this daemon is a home.
  std::vector<MemberId> preferredFor(const ServiceName &Service) const;

  MemberId Self_;
  FailureDomain Domain_;
  ServiceHomes Homes_;
  std::map<ServiceName, std::vector<MemberId>> Chosen_;
  std::optional<TimePoint> ChooseAt_;
};

} // namespace jaybridge
