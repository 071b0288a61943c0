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
  explicit ServiceRouter(FailureDomain OwnDomain, RetryBudgetBounds Bounds = {},
                         Placement Mode = Placement::Load)
      : Pool_(std::move(OwnDomain), Mode), Budget_(Percentage(0), Bounds) {}

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
  /// Expected time until an instance runs a request that is rejected now.
  Duration expectedCapacityDelay(TimePoint Now) const;
  /// True while instances reject enough requests that the next one is placed
  /// first where the last one ran.
  bool isCapacityScarce(TimePoint Now) const;
  /// True when most requests are rejected, so that a second attempt of one
  /// would probably be too.
  bool isRejectingMost(TimePoint Now) const;

  /// Whether capacity has become short, or has stopped to be; none without a
  /// change. It stops to be short at half of the share of rejections at which
  /// it becomes short.
  std::optional<bool> updateCapacityState(TimePoint Now);

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
  bool IsCapacityShort_ = false;
  std::vector<MemberId> Homes_;
  std::map<MemberId, TimePoint> HomeLostUntil_;
};

} // namespace jaybridge
