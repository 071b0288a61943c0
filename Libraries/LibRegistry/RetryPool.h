#pragma once

#include <LibCore/Identifiers.h>
#include <LibRouting/RetryBalance.h>

#include <map>

namespace jaybridge {

/// A control member's share of the retry budget of the fleet. Each gateway
/// holds one retry of each service and gets it replaced from this pool once it
/// is spent, so that the budget goes to the gateways whose requests fail.
///
/// The platform of the callers permits retries for a share of a service's
/// requests and a small constant for each gateway. The retries that the
/// gateways hold use up most of the constant part; the pools of all control
/// members together stay within the rest.
class RetryPool {
public:
  /// Share of the reported outcomes that is deposited. Outcomes of retries
  /// count too: 16% of 1.2 outcomes for each request is under a fifth of the
  /// requests.
  static constexpr Percentage DepositShare{16};
  /// Limit of a service in the pools of all control members together. 44
  /// gateways leave 18 of 62 retries; a third of these is kept for restarts.
  static constexpr EventCount FleetCapacity{12};

  /// Adds DepositShare of the outcomes, up to FleetCapacity divided by the
  /// number of control members.
  void deposit(const ServiceName &Service, EventCount Outcomes,
               std::size_t MemberCount);
  /// Takes whole retries, at most the number requested, and returns their
  /// number.
  EventCount withdraw(const ServiceName &Service, EventCount Requested);

private:
  std::map<ServiceName, RetryBalance> Balances_;
};

} // namespace jaybridge
