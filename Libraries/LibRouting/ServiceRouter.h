#pragma once

#include <LibProfile/ServicePolicy.h>
#include <LibRouting/HedgePolicy.h>
#include <LibRouting/RetryBudget.h>
#include <LibUpstream/UpstreamPool.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// What a gateway decides with for one service: its policy, its instances, its
/// budget for retries and its homes.
class ServiceRouter {
public:
  explicit ServiceRouter(FailureDomain Own, RetryBudgetBounds Bounds = {})
      : Pool_(std::move(Own)), Budget_(Percentage(0), Bounds) {}

  /// No policy means that the service is unknown.
  void setPolicy(std::optional<ServicePolicy> Policy);
  const std::optional<ServicePolicy> &policy() const { return Policy_; }

  UpstreamPool &pool() { return Pool_; }
  const UpstreamPool &pool() const { return Pool_; }
  RetryBudget &budget() { return Budget_; }

  void finishAttempt(const InstanceId &Instance, const AttemptOutcome &Ended,
                     TimePoint Now);
  std::optional<Duration> hedgeDelay() const { return Hedging_.delay(); }

  /// How long a request waits behind that many others, by Little's law on the
  /// slots in use.
  Duration predictedWait(std::size_t Ahead) const;
  /// False when a request sent now would most likely miss its deadline. Only a
  /// fresh estimate counts, so that a slow period cannot stop all dispatches.
  bool canFinish(TimePoint Deadline, TimePoint Now) const;

  void setHomes(std::vector<MemberId> Preferred);
  /// The first home that was not lost lately; none when served here.
  std::optional<MemberId> chooseHome(TimePoint Now) const;
  void loseHome(const MemberId &Home, TimePoint Now);

  /// The pool's deadline that the gateway has noted in its timers.
  std::optional<TimePoint> NotedDeadline_;

private:
  std::optional<ServicePolicy> Policy_;
  UpstreamPool Pool_;
  RetryBudget Budget_;
  HedgePolicy Hedging_;
  std::vector<MemberId> Homes_;
  std::map<MemberId, TimePoint> LostUntil_;
};

} // namespace jaybridge
