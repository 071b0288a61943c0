#include <LibRouting/ServiceRouter.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Maximum age of a service time estimate that may cause a refusal.
constexpr Duration MaxEstimateAge = 500ms;
/// Time for which a lost home is skipped. Membership removes a failed member
/// from the list of homes soon after.
constexpr Duration LostHomeTimeout = 1s;

/// Single rejections are due to requests that arrive at the same time; they end
/// by trying another instance.
constexpr RequestShare ScarceRejectionShare(0.1);
/// While instances reject about half, another attempt is worth a retry of the
/// budget.
constexpr RequestShare MostRejectionShare(0.7);
constexpr RequestShare SufficientRejectionShare(0.35);
/// Longer waits are not predictable from the rejections of a few seconds.
constexpr Duration MaxCapacityDelay = 5s;

} // namespace

void ServiceRouter::setPolicy(std::optional<ServicePolicy> Policy) {
  Policy_ = std::move(Policy);
  if (!Policy_)
    return;
  Pool_.setFloor(Policy_->Profile_.floor());
  Budget_.setShare(Policy_->Profile_.retryBudget());
}

void ServiceRouter::finishAttempt(const RouteName &Route,
                                  const InstanceId &Instance,
                                  const AttemptOutcome &AttemptEnd,
                                  TimePoint Now) {
  Pool_.finish(Instance, AttemptEnd, Now);
  // Cancelled and timed-out attempts count with the time that they ran:
  // without the losers of hedging the percentile would fall and cause ever more
  // hedges.
  bool IsAnswer = AttemptEnd.Result_ == AttemptResult::Answered &&
                  AttemptEnd.Response_.Status_ < MinServerErrorStatus;
  if (IsAnswer || AttemptEnd.Result_ == AttemptResult::Cancelled ||
      AttemptEnd.Result_ == AttemptResult::TimedOut)
    Hedging_.record(AttemptEnd.Elapsed_);
  if (!IsAnswer)
    return;
  Overdue_.record(Route, AttemptEnd.Elapsed_);
  Longest_.record(AttemptEnd.Elapsed_, Now);
}

Duration ServiceRouter::predictedWait(std::size_t RequestsAhead) const {
  auto Parallel = std::max<Duration::rep>(1, Pool_.slotsInUse().value());
  return Pool_.latency().mean() * static_cast<Duration::rep>(RequestsAhead) /
         Parallel;
}

Duration ServiceRouter::expectedCapacityDelay(TimePoint Now) const {
  // For each request that runs, this many others take a service time more.
  std::chrono::duration<double, Duration::period> Delay =
      Pool_.latency().mean() * Pool_.rejections().rejectionsPerRun(Now);
  return std::min(MaxCapacityDelay,
                  std::chrono::duration_cast<Duration>(Delay));
}

bool ServiceRouter::isCapacityScarce(TimePoint Now) const {
  return Pool_.rejections().share(Now) >= ScarceRejectionShare;
}

bool ServiceRouter::isRejectingMost(TimePoint Now) const {
  return Pool_.rejections().share(Now) > MostRejectionShare;
}

std::optional<bool> ServiceRouter::updateCapacityState(TimePoint Now) {
  bool IsShort = IsCapacityShort_
                     ? Pool_.rejections().share(Now) > SufficientRejectionShare
                     : isRejectingMost(Now);
  if (IsShort == IsCapacityShort_)
    return std::nullopt;
  IsCapacityShort_ = IsShort;
  return IsShort;
}

bool ServiceRouter::canFinish(TimePoint Deadline, TimePoint Now) const {
  const LatencyEstimate &ServiceTime = Pool_.latency();
  if (!ServiceTime.hasEnoughSamples() ||
      Now - ServiceTime.lastSampleTime() > MaxEstimateAge)
    return Now < Deadline;
  return Now + ServiceTime.mean() < Deadline;
}

void ServiceRouter::setHomes(std::vector<MemberId> Homes) {
  Homes_ = std::move(Homes);
  HomeLostUntil_.clear();
}

std::optional<MemberId> ServiceRouter::chooseHome(TimePoint Now) const {
  for (const MemberId &Home : Homes_) {
    auto Lost = HomeLostUntil_.find(Home);
    if (Lost == HomeLostUntil_.end() || Now >= Lost->second)
      return Home;
  }
  return std::nullopt;
}

void ServiceRouter::markHomeLost(const MemberId &Home, TimePoint Now) {
  HomeLostUntil_[Home] = Now + LostHomeTimeout;
}

} // namespace jaybridge
