#include <LibUpstream/UpstreamInstance.h>

#include <LibCore/Verify.h>

#include <cmath>

namespace jaybridge {

namespace {

/// Share that one more outcome has in the recent share of failures.
constexpr double FailureSmoothing = 0.3;
/// Failures and slowness are forgotten by half in this time, so that an
/// avoided instance is tried again.
constexpr Duration HalfLife = 2s;
/// A failing instance looks up to this many times as loaded.
constexpr double FailurePenalty = 8;
/// After this many service times the slots hold other requests. A hint believed
/// for 1 s made 46 gateways herd: 2 to 3% of requests failed at 70% load
/// against 0.5% with this bound.
constexpr int HintServices = 2;
constexpr Duration LeastHintLifetime = 10ms;
constexpr double GreatestSlowness = 10;
/// Means of few samples differ by chance, and a remainder of old failures must
/// not decide between idle instances: below these both count as none.
constexpr double LeastSlowness = 1.25;
constexpr double LeastFailures = 0.02;
/// A single failure may be the request's fault; two in a row are avoided.
constexpr unsigned FailuresBeforeAvoidance = 2;
constexpr Duration LeastAvoidance = 100ms;
constexpr unsigned GreatestAvoidanceDoublings = 4;
/// An instance that sheds is busy with the work of others: it is left alone
/// for half a request's time, doubled with each further shed.
constexpr Duration LeastShedHold = 2ms;
constexpr unsigned GreatestShedDoublings = 4;

double remaining(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HalfLife.count()));
}

} // namespace

UpstreamInstance::UpstreamInstance(InstanceRecord Record, TimePoint Now,
                                   bool IsCold)
    : Record_(std::move(Record)), Limit_(Record_.Slots_),
      WarmAt_(IsCold ? Now + WarmUpTime : Now) {}

bool UpstreamInstance::update(const InstanceRecord &Newer, TimePoint Now) {
  if (std::pair(Newer.Version_, Newer.State_) <=
      std::pair(Record_.Version_, Record_.State_))
    return false;
  bool WasServing = isServing();
  Record_ = Newer;
  Limit_.setAnnounced(Record_.Slots_);
  if (!WasServing && isServing()) {
    WarmAt_ = Now + WarmUpTime;
    Failures_ = 0;
    FailuresInRow_ = 0;
    RefusesConnections_ = false;
    HeldUntil_ = Now;
  }
  return true;
}

void UpstreamInstance::updateReportedLoad(SlotCount Busy, TimePoint Now) {
  UsedByOthers_ = Busy - std::min(Busy, InUse_);
  LoadReportedAt_ = Now;
}

void UpstreamInstance::setEjected(bool IsEjected, TimePoint Now) {
  if (IsEjected_ && !IsEjected)
    WarmAt_ = Now + WarmUpTime;
  IsEjected_ = IsEjected;
}

void UpstreamInstance::begin() { InUse_ += SlotCount(1); }

void UpstreamInstance::finish(const AttemptOutcome &Ended, TimePoint Now) {
  JAYBRIDGE_VERIFY(InUse_ > SlotCount(0));
  bool WasFull = InUse_ >= Limit_.current(Now);
  InUse_ -= SlotCount(1);
  switch (Ended.Result_) {
  case AttemptResult::Answered:
    if (Ended.Response_.Status_ >= MinServerErrorStatus)
      return recordFailure(Now);
    return recordSuccess(Ended, WasFull, Now);
  case AttemptResult::ResponseTooLarge:
    return recordSuccess(Ended, WasFull, Now);
  case AttemptResult::RefusedNotRun:
    return recordShed(Now);
  case AttemptResult::ConnectFailed:
    RefusesConnections_ = true;
    return recordFailure(Now);
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
    return recordFailure(Now);
  case AttemptResult::TimedOut:
    Latency_.recordLowerBound(Ended.Elapsed_, Now);
    Limit_.decrease(Now);
    return recordFailure(Now);
  case AttemptResult::Cancelled:
    return Latency_.recordLowerBound(Ended.Elapsed_, Now);
  }
}

void UpstreamInstance::recordFailure(TimePoint Now) {
  Failures_ *= remaining(Now - FailuresAt_);
  Failures_ += (1 - Failures_) * FailureSmoothing;
  FailuresAt_ = Now;
  ++FailuresInRow_;
}

void UpstreamInstance::recordSuccess(const AttemptOutcome &Ended, bool WasFull,
                                     TimePoint Now) {
  Failures_ *= (1 - FailureSmoothing) * remaining(Now - FailuresAt_);
  FailuresAt_ = Now;
  FailuresInRow_ = 0;
  ShedsInRow_ = 0;
  RefusesConnections_ = false;
  Latency_.record(Ended.Elapsed_, Now);
  if (WasFull)
    Limit_.increase(Now);
}

void UpstreamInstance::recordShed(TimePoint Now) {
  Limit_.decrease(Now);
  Duration Hold = std::max(LeastShedHold, Latency_.mean() / 2) *
                  (1 << std::min(ShedsInRow_, GreatestShedDoublings));
  ++ShedsInRow_;
  hold(Now + Hold);
}

std::optional<Duration> UpstreamInstance::avoidanceTime() const {
  unsigned Excess = FailuresInRow_ + (RefusesConnections_ ? 1 : 0);
  if (Excess < FailuresBeforeAvoidance)
    return std::nullopt;
  return LeastAvoidance * (1 << std::min(Excess - FailuresBeforeAvoidance,
                                         GreatestAvoidanceDoublings));
}

SlotCount UpstreamInstance::limit(TimePoint Now) const {
  SlotCount Adapted = Limit_.current(Now);
  if (!isWarmingUp(Now))
    return Adapted;
  auto Left = static_cast<std::uint64_t>((WarmAt_ - Now).count());
  auto Whole = static_cast<std::uint64_t>(WarmUpTime.count());
  std::uint64_t Slots = Record_.Slots_.value();
  SlotCount Warm(static_cast<std::uint32_t>(
      Slots - std::min(Slots, Slots * Left / Whole)));
  return std::max(SlotCount(1), std::min(Adapted, Warm));
}

bool UpstreamInstance::isAvailable(TimePoint Now) const {
  return isServing() && !IsEjected_ && Now >= HeldUntil_ && InUse_ < limit(Now);
}

SelectionCost UpstreamInstance::cost(Duration PoolMean, TimePoint Now) const {
  double Load = InUse_.value() + 1;
  Duration Lifetime = std::min(
      LoadHintLifetime, std::max(LeastHintLifetime, PoolMean * HintServices));
  if (Duration Age = Now - LoadReportedAt_; Age < Lifetime)
    Load +=
        UsedByOthers_.value() * (1 - static_cast<double>(Age.count()) /
                                         static_cast<double>(Lifetime.count()));
  double Slowness = 1;
  if (Latency_.hasEnoughSamples() && Latency_.mean() > PoolMean &&
      PoolMean > Duration::zero()) {
    double Ratio = static_cast<double>(Latency_.mean().count()) /
                   static_cast<double>(PoolMean.count());
    Slowness += (std::min(Ratio, GreatestSlowness) - 1) *
                remaining(Now - Latency_.lastSample());
  }
  if (Slowness < LeastSlowness)
    Slowness = 1;
  double Failing = Failures_ * remaining(Now - FailuresAt_);
  if (Failing < LeastFailures)
    Failing = 0;
  return SelectionCost(Load / limit(Now).value() * Slowness *
                       (1 + FailurePenalty * Failing));
}

} // namespace jaybridge
