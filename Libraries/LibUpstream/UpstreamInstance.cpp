#include <LibUpstream/UpstreamInstance.h>

#include <LibCore/Verify.h>

#include <cmath>

namespace jaybridge {

namespace {

/// Weight of the latest attempt in the exponentially weighted failure ratio.
constexpr double FailureSmoothing = 0.3;
/// The weight of failures and slowness halves in this time, so that an avoided
/// instance is tried again.
constexpr Duration DecayHalfLife = 2s;
/// The cost of an instance that fails all attempts is multiplied by one plus
/// this factor.
constexpr double FailurePenalty = 8;
/// Lifetime of a load report in mean latencies of the pool; after that the
/// slots hold other requests. A lifetime of 1 s made 46 gateways send their
/// requests to the same instances: 2 to 3% of requests failed at 70% load,
/// against 0.5% with this bound.
constexpr int LoadReportLifetimeInMeanLatencies = 2;
constexpr Duration MinLoadReportLifetime = 10ms;
constexpr double MaxSlowness = 10;
/// Means of few samples differ by chance, and the remainder of old failures
/// must not decide between idle instances. Slowness and failure ratios below
/// these values are ignored.
constexpr double MinCountedSlowness = 1.25;
constexpr double MinCountedFailureRatio = 0.02;
/// A single failure may be caused by the request; backoff starts at two in a
/// row.
constexpr unsigned FailuresBeforeBackoff = 2;
constexpr Duration MinBackoff = 100ms;
constexpr unsigned MaxBackoffDoublings = 4;
/// An instance that sheds load is busy with requests of other gateways: it gets
/// no requests for half of its mean latency, doubled with each further shed.
constexpr Duration MinShedBackoff = 2ms;
constexpr unsigned MaxShedBackoffDoublings = 4;
/// Time in which a lowered limit rises to the announced slots with placement by
/// cost.
constexpr Duration LimitRecoveryTime = 2s;
/// With placement by cost, an instance that rejects most requests stays on
/// trial for this long after its last rejection.
constexpr Duration TrialDuration = 2s;

double decayFactor(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(DecayHalfLife.count()));
}

} // namespace

UpstreamInstance::UpstreamInstance(InstanceRecord Record, TimePoint Now,
                                   bool IsCold, Placement Mode)
    : Record_(std::move(Record)), Mode_(Mode),
      Limit_(Record_.Slots_, Mode == Placement::Cost
                                 ? std::optional(LimitRecoveryTime)
                                 : std::nullopt),
      WarmUpEndsAt_(IsCold ? Now + WarmUpDuration : Now) {}

bool UpstreamInstance::update(const InstanceRecord &NewRecord, TimePoint Now) {
  if (std::pair(NewRecord.Version_, NewRecord.State_) <=
      std::pair(Record_.Version_, Record_.State_))
    return false;
  bool WasServing = isServing();
  Record_ = NewRecord;
  Limit_.setAnnouncedSlots(Record_.Slots_);
  if (!WasServing && isServing()) {
    WarmUpEndsAt_ = Now + WarmUpDuration;
    FailureRatio_ = 0;
    ConsecutiveFailures_ = 0;
    IsRefusingConnections_ = false;
    BackoffEndsAt_ = Now;
  }
  return true;
}

void UpstreamInstance::updateReportedLoad(SlotCount ReportedLoad,
                                          TimePoint Now) {
  SlotsUsedByOthers_ = ReportedLoad - std::min(ReportedLoad, InUse_);
  LoadReportedAt_ = Now;
}

void UpstreamInstance::setEjected(bool IsEjected, TimePoint Now) {
  if (IsEjected_ && !IsEjected) {
    WarmUpEndsAt_ = Now + WarmUpDuration;
    IsOnProbation_ = true;
    ProbationEndsAt_ = Now + MaxExclusion;
  }
  IsEjected_ = IsEjected;
}

void UpstreamInstance::begin() { InUse_ += SlotCount(1); }

void UpstreamInstance::finish(const AttemptOutcome &Attempt, TimePoint Now) {
  JAYBRIDGE_VERIFY(InUse_ > SlotCount(0));
  bool WasFull = InUse_ >= Limit_.current(Now);
  InUse_ -= SlotCount(1);
  switch (Attempt.Result_) {
  case AttemptResult::Answered:
    if (Attempt.Response_.Status_ >= MinServerErrorStatus)
      return recordFailure(Now);
    return recordSuccess(Attempt, WasFull, Now);
  case AttemptResult::ResponseTooLarge:
    return recordSuccess(Attempt, WasFull, Now);
  case AttemptResult::RefusedNotRun:
    return recordShed(Now);
  case AttemptResult::ConnectFailed:
    IsRefusingConnections_ = true;
    return recordFailure(Now);
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
    return recordFailure(Now);
  case AttemptResult::TimedOut:
    Latency_.recordLowerBound(Attempt.Elapsed_, Now);
    Limit_.decrease(Now);
    return recordFailure(Now);
  case AttemptResult::Cancelled:
    return Latency_.recordLowerBound(Attempt.Elapsed_, Now);
  }
}

void UpstreamInstance::recordFailure(TimePoint Now) {
  FailureRatio_ *= decayFactor(Now - FailureRatioAt_);
  FailureRatio_ += (1 - FailureRatio_) * FailureSmoothing;
  FailureRatioAt_ = Now;
  ++ConsecutiveFailures_;
  LastRunAt_.reset();
}

void UpstreamInstance::recordSuccess(const AttemptOutcome &Attempt,
                                     bool WasFull, TimePoint Now) {
  FailureRatio_ *= (1 - FailureSmoothing) * decayFactor(Now - FailureRatioAt_);
  FailureRatioAt_ = Now;
  ConsecutiveFailures_ = 0;
  IsOnProbation_ = false;
  ConsecutiveSheds_ = 0;
  if (Mode_ == Placement::Cost) {
    Rejections_.recordRun(Now);
    LastRunAt_ = Now;
  }
  IsRefusingConnections_ = false;
  Latency_.record(Attempt.Elapsed_, Now);
  if (WasFull)
    Limit_.increase(Now);
}

void UpstreamInstance::recordShed(TimePoint Now) {
  if (Mode_ == Placement::Cost)
    return recordRejection(Now);
  Limit_.decrease(Now);
  Duration Backoff =
      std::max(MinShedBackoff, Latency_.mean() / 2) *
      (1 << std::min(ConsecutiveSheds_, MaxShedBackoffDoublings));
  ++ConsecutiveSheds_;
  extendBackoff(Now + Backoff);
}

void UpstreamInstance::recordRejection(TimePoint Now) {
  Rejections_.recordRejection(Now);
  LastRunAt_.reset();
  Duration Backoff =
      std::max(MinShedBackoff, Latency_.mean() / 2) *
      (1 << std::min(ConsecutiveSheds_, MaxShedBackoffDoublings));
  ++ConsecutiveSheds_;
  TrialEndsAt_ = Now + TrialDuration;
  extendBackoff(Now + std::min(MaxExclusion, Backoff));
}

std::optional<Duration> UpstreamInstance::backoffDuration() const {
  unsigned FailureCount =
      ConsecutiveFailures_ + (IsRefusingConnections_ ? 1 : 0);
  if (FailureCount < FailuresBeforeBackoff)
    return std::nullopt;
  Duration Backoff =
      MinBackoff * (1 << std::min(FailureCount - FailuresBeforeBackoff,
                                  MaxBackoffDoublings));
  return Mode_ == Placement::Cost ? std::min(MaxExclusion, Backoff) : Backoff;
}

SlotCount UpstreamInstance::limit(TimePoint Now) const {
  SlotCount AdaptiveLimit = Limit_.current(Now);
  if (Mode_ == Placement::Cost) {
    if (isOnTrial(Now))
      return SlotCount(1);
    AdaptiveLimit = SlotCount(static_cast<std::uint32_t>(std::max(
        1.0, AdaptiveLimit.value() * (1 - Rejections_.share(Now).value()))));
  }
  if (!isWarmingUp(Now))
    return AdaptiveLimit;
  return std::max(SlotCount(1), std::min(AdaptiveLimit, warmUpLimit(Now)));
}

SlotCount UpstreamInstance::warmUpLimit(TimePoint Now) const {
  auto RemainingWarmUp =
      static_cast<std::uint64_t>((WarmUpEndsAt_ - Now).count());
  auto TotalWarmUp = static_cast<std::uint64_t>(WarmUpDuration.count());
  std::uint64_t Slots = Record_.Slots_.value();
  return SlotCount(static_cast<std::uint32_t>(
      Slots - std::min(Slots, Slots * RemainingWarmUp / TotalWarmUp)));
}

bool UpstreamInstance::isAvailable(TimePoint Now) const {
  return isServing() && !IsEjected_ && Now >= BackoffEndsAt_ &&
         InUse_ < limit(Now);
}

SelectionCost UpstreamInstance::cost(Duration PoolMeanLatency,
                                     TimePoint Now) const {
  double Load = InUse_.value() + 1;
  Duration Lifetime =
      std::min(MaxLoadReportLifetime,
               std::max(MinLoadReportLifetime,
                        PoolMeanLatency * LoadReportLifetimeInMeanLatencies));
  if (Duration Age = Now - LoadReportedAt_; Age < Lifetime)
    Load += SlotsUsedByOthers_.value() *
            (1 - static_cast<double>(Age.count()) /
                     static_cast<double>(Lifetime.count()));
  double Slowness = 1;
  if (Latency_.hasEnoughSamples() && Latency_.mean() > PoolMeanLatency &&
      PoolMeanLatency > Duration::zero()) {
    double Ratio = static_cast<double>(Latency_.mean().count()) /
                   static_cast<double>(PoolMeanLatency.count());
    Slowness += (std::min(Ratio, MaxSlowness) - 1) *
                decayFactor(Now - Latency_.lastSampleTime());
  }
  if (Slowness < MinCountedSlowness)
    Slowness = 1;
  double FailureRatio = FailureRatio_ * decayFactor(Now - FailureRatioAt_);
  if (FailureRatio < MinCountedFailureRatio)
    FailureRatio = 0;
  // The limits protect an instance from many requests at once. In the cost, a
  // lowered one would keep the first request from an idle instance.
  SlotCount Slots = Mode_ == Placement::Cost ? Record_.Slots_ : limit(Now);
  return SelectionCost(Load / std::max(SlotCount(1), Slots).value() * Slowness *
                       (1 + FailurePenalty * FailureRatio));
}

} // namespace jaybridge
