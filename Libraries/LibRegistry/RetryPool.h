#pragma once

#include <LibCore/Identifiers.h>
#include <LibRouting/RetryBalance.h>

#include <map>

namespace jaybridge {

/// A control member's part of the retries that the gateways of the fleet may
/// make. Each gateway holds one retry of each service and gets it replaced from
/// here once it is spent, so that the budget goes where requests fail.
///
/// A callers' platform permits a share of a service's requests and a little
/// more for each gateway. What the gateways hold uses up most of the latter;
/// the members' parts together stay within the rest.
class RetryPool {
public:
  /// Of each outcome that gateways report. Outcomes of retries count too: 16%
  /// of 1.2 outcomes for each request is under a fifth of the requests.
  static constexpr Percentage Share{16};
  /// What the pools of all members may hold for a service. Of the 18 retries
  /// that 44 gateways leave of 62, a third is left for restarts.
  static constexpr EventCount FleetCapacity{12};

  void deposit(const ServiceName &Service, EventCount Outcomes,
               std::size_t Members);
  /// Takes as many retries as there are, up to those wanted.
  EventCount withdraw(const ServiceName &Service, EventCount Wanted);

private:
  std::map<ServiceName, RetryBalance> Balances_;
};

} // namespace jaybridge
