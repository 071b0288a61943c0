#pragma once

#include <LibProfile/ServicePolicy.h>
#include <LibRouting/HedgePolicy.h>
#include <LibRouting/OverduePolicy.h>
#include <LibRouting/RetryBudget.h>
#include <LibUpstream/LongestRecent.h>
#include <LibUpstream/UpstreamPool.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// A gateway's state of one service: policy, upstream pool, retry budget,
/// latencies for hedging and homes. The homes of a service are the few gateways
/// of each failure domain that dispatch its requests; all others forward to
/// them.
class ServiceRouter {
public:
  explicit ServiceRouter(FailureDomain OwnDomain, RetryBudgetBounds Bounds = {})
      : Pool_(std::move(OwnDomain)), Budget_(Percentage(0), Bounds) {}

  /// Without a policy, requests are refused because the service is unknown.
  void setPolicy(std::optional<ServicePolicy> Policy);
  const std::optional<ServicePolicy> &policy() const { return Policy_; }

  UpstreamPool &pool() { return Pool_; }
  const UpstreamPool &pool() const { return Pool_; }
  RetryBudget &budget() { return Budget_; }

  void finishAttempt(const RouteName &Route, const InstanceId &Instance,
                     const AttemptOutcome &AttemptEnd, TimePoint Now);
  /// Time after which an attempt of the route is overdue, if that is known.
  std::optional<Duration> overdueDelay(const RouteName &Route) const {
    return Overdue_.delay(Route);
  }
  std::optional<Duration> hedgeDelay() const { return Hedging_.delay(); }
  /// Time of the longest attempt that was answered recently.
  std::optional<Duration> longestAttempt() const { return Longest_.value(); }

  /// Queueing delay of a request behind this many others: by Little's law on
  /// the slots in use and the mean latency.
  Duration predictedWait(std::size_t RequestsAhead) const;
  /// False when a request dispatched now would probably miss its deadline. Only
  /// a recent estimate counts: otherwise a slow period could stop all
  /// dispatches and with them all new samples.
  bool canFinish(TimePoint Deadline, TimePoint Now) const;

  void setHomes(std::vector<MemberId> Homes);
  /// The first home that was not lost recently; none when this gateway serves
  /// the service itself.
  std::optional<MemberId> chooseHome(TimePoint Now) const;
  /// Skips the home for a short time.
  void markHomeLost(const MemberId &Home, TimePoint Now);

  /// The pool's deadline for which the dispatcher has a timer.
  std::optional<TimePoint> ScheduledDeadline_;

private:
  std::optional<ServicePolicy> Policy_;
  UpstreamPool Pool_;
  RetryBudget Budget_;
  HedgePolicy Hedging_;
  OverduePolicy Overdue_;
  LongestRecent Longest_;
  std::vector<MemberId> Homes_;
  std::map<MemberId, TimePoint> HomeLostUntil_;
};

} // namespace jaybridge
