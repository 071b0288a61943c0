#pragma once

#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/CandidateView.h>
#include <LibUpstream/ConcurrencyLimit.h>
#include <LibUpstream/InstanceRecord.h>
#include <LibUpstream/LatencyEstimate.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

/// State of an instance as one gateway observes it from the requests that it
/// sent to the instance.
class UpstreamInstance {
public:
  /// Time over which the limit of a cold instance rises to its announced slots.
  static constexpr Duration WarmUpDuration = 3s;
  /// Upper bound of the age at which a load report is ignored; the weight of a
  /// report decreases with its age.
  static constexpr Duration MaxLoadReportLifetime = 1s;

  /// Samples in the latency mean of an instance: few, so that slowness shows
  /// quickly.
  static constexpr EventCount LatencySampleWindow{5};

  UpstreamInstance(InstanceRecord Record, TimePoint Now, bool IsCold);

  const InstanceRecord &record() const { return Record_; }
  /// Replaces the record and starts the warm-up when the instance enters the
  /// serving state. Returns false when the record is not newer.
  bool update(const InstanceRecord &NewRecord, TimePoint Now);
  /// Takes a load report: the requests at the instance, including queued ones.
  void updateReportedLoad(SlotCount ReportedLoad, TimePoint Now);
  void setEjected(bool IsEjected, TimePoint Now);

  /// An attempt at the instance starts.
  void begin();
  /// An attempt at the instance ended.
  void finish(const AttemptOutcome &Attempt, TimePoint Now);
  /// Backoff after the consecutive failures so far; none when there were too
  /// few of them.
  std::optional<Duration> backoffDuration() const;
  /// Makes the instance unavailable until the given time, or longer when an
  /// earlier backoff ends later.
  void extendBackoff(TimePoint Until) {
    BackoffEndsAt_ = std::max(BackoffEndsAt_, Until);
  }

  SlotCount inUse() const { return InUse_; }
  SlotCount limit(TimePoint Now) const;
  bool isServing() const { return Record_.State_ == InstanceState::Serving; }
  bool isEjected() const { return IsEjected_; }
  bool isWarmingUp(TimePoint Now) const { return Now < WarmUpEndsAt_; }
  /// Returned from an ejection and has answered nothing since.
  bool isOnProbation(TimePoint Now) const {
    return IsOnProbation_ && isWarmingUp(Now);
  }
  TimePoint backoffEnd() const { return BackoffEndsAt_; }
  bool isAvailable(TimePoint Now) const;
  /// Precondition: the instance is not available.
  UnavailableReason unavailableReason(TimePoint Now) const;
  /// Selection cost, computed from load, failures and the latency relative to
  /// the mean of the pool.
  SelectionCost cost(Duration PoolMeanLatency, TimePoint Now) const;

private:
  void recordFailure(TimePoint Now);
  void recordSuccess(const AttemptOutcome &Attempt, bool WasFull,
                     TimePoint Now);
  void recordShed(TimePoint Now);

  InstanceRecord Record_;
  ConcurrencyLimit Limit_;
  LatencyEstimate Latency_{LatencySampleWindow};
  SlotCount InUse_;
  bool IsEjected_ = false;
  bool IsOnProbation_ = false;
  TimePoint WarmUpEndsAt_;
  TimePoint BackoffEndsAt_{};
  /// Exponentially weighted share of failed attempts, 0 to 1, at the time
  /// FailureRatioAt_.
  double FailureRatio_ = 0;
  TimePoint FailureRatioAt_{};
  unsigned ConsecutiveFailures_ = 0;
  unsigned ConsecutiveSheds_ = 0;
  bool IsRefusingConnections_ = false;
  /// Slots used by other gateways at LoadReportedAt_, as reported by the
  /// instance.
  SlotCount SlotsUsedByOthers_;
  TimePoint LoadReportedAt_{};
};

} // namespace jaybridge
