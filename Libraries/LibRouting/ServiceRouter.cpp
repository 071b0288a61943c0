#include <LibRouting/ServiceRouter.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// An estimate of the service time older than this refuses nothing.
constexpr Duration EstimateLifetime = 500ms;
/// A lost home is passed over for this time; membership replaces the list of
/// homes soon after.
constexpr Duration LostHomeTime = 1s;

} // namespace

void ServiceRouter::setPolicy(std::optional<ServicePolicy> Policy) {
  Policy_ = std::move(Policy);
  if (!Policy_)
    return;
  Pool_.setFloor(Policy_->Profile_.floor());
  Budget_.setShare(Policy_->Profile_.retryBudget());
}

void ServiceRouter::finishAttempt(const InstanceId &Instance,
                                  const AttemptOutcome &Ended, TimePoint Now) {
  Pool_.finish(Instance, Ended, Now);
  // A cancelled or timed-out attempt counts with its age: without the losers
  // of hedging the quantile would sink and cause ever more hedges.
  bool IsAnswer = Ended.Result_ == AttemptResult::Answered &&
                  Ended.Response_.Status_ < MinServerErrorStatus;
  if (IsAnswer || Ended.Result_ == AttemptResult::Cancelled ||
      Ended.Result_ == AttemptResult::TimedOut)
    Hedging_.record(Ended.Elapsed_);
}

Duration ServiceRouter::predictedWait(std::size_t Ahead) const {
  auto Parallel = std::max<Duration::rep>(1, Pool_.slotsInUse().value());
  return Pool_.latency().mean() * static_cast<Duration::rep>(Ahead) / Parallel;
}

bool ServiceRouter::canFinish(TimePoint Deadline, TimePoint Now) const {
  const LatencyEstimate &Known = Pool_.latency();
  if (!Known.hasEnoughSamples() ||
      Now - Known.lastSampleTime() > EstimateLifetime)
    return Now < Deadline;
  return Now + Known.mean() < Deadline;
}

void ServiceRouter::setHomes(std::vector<MemberId> Preferred) {
  Homes_ = std::move(Preferred);
  LostUntil_.clear();
}

std::optional<MemberId> ServiceRouter::chooseHome(TimePoint Now) const {
  for (const MemberId &Home : Homes_) {
    auto Lost = LostUntil_.find(Home);
    if (Lost == LostUntil_.end() || Now >= Lost->second)
      return Home;
  }
  return std::nullopt;
}

void ServiceRouter::loseHome(const MemberId &Home, TimePoint Now) {
  LostUntil_[Home] = Now + LostHomeTime;
}

} // namespace jaybridge
