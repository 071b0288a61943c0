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
/// requests and a constant allowance. The retries that the gateways hold use up
/// most of the allowance; the pools of all control members together stay
/// within a fifth of it.
class RetryPool {
public:
  /// The allowance of the fleet is in retries of a service.
  explicit RetryPool(EventCount Allowance)
      : FleetCapacity_(Allowance.value() / AllowanceDivisor) {}

  /// Share of the reported outcomes that is deposited. Outcomes of retries
  /// count too: 16% of 1.2 outcomes for each request is under a fifth of the
  /// requests.
  static constexpr Percentage DepositShare{16};
  /// Platforms allow about 1.4 retries for each gateway, of which it holds one.
  static constexpr std::uint64_t AllowanceDivisor = 5;

  /// Adds DepositShare of the outcomes, up to an equal part of the pools of all
  /// control members, and at least one retry: only whole ones can be granted.
  void deposit(const ServiceName &Service, EventCount Outcomes,
               std::size_t MemberCount);
  /// Takes whole retries, at most the number requested, and returns their
  /// number.
  EventCount withdraw(const ServiceName &Service, EventCount Requested);

private:
  EventCount FleetCapacity_;
  std::map<ServiceName, RetryBalance> Balances_;
};

} // namespace jaybridge
