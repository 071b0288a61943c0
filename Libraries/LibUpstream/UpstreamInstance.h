#pragma once

#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/ConcurrencyLimit.h>
#include <LibUpstream/InstanceRecord.h>
#include <LibUpstream/LatencyEstimate.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

/// What one gateway knows about an instance from the requests it sent there.
class UpstreamInstance {
public:
  /// Time in which a cold instance is given all of its slots.
  static constexpr Duration WarmUpTime = 3s;
  /// A statement about load counts less with age and nothing after this time.
  static constexpr Duration LoadHintLifetime = 1s;

  /// Latencies of an instance: few, so that slowness shows at once.
  static constexpr EventCount LatencyMemory{5};

  UpstreamInstance(InstanceRecord Record, TimePoint Now, bool IsCold);

  const InstanceRecord &record() const { return Record_; }
  /// Takes a newer record; a restart makes the instance cold. Returns false
  /// when the record is not newer.
  bool update(const InstanceRecord &Newer, TimePoint Now);
  void updateReportedLoad(SlotCount Busy, TimePoint Now);
  void setEjected(bool IsEjected, TimePoint Now);

  void begin();
  void finish(const AttemptOutcome &Ended, TimePoint Now);
  /// How long to send nothing after the failures so far; none without need.
  std::optional<Duration> avoidanceTime() const;
  /// Sends nothing until the time.
  void hold(TimePoint Until) { HeldUntil_ = std::max(HeldUntil_, Until); }

  SlotCount inUse() const { return InUse_; }
  SlotCount limit(TimePoint Now) const;
  bool isServing() const { return Record_.State_ == InstanceState::Serving; }
  bool isEjected() const { return IsEjected_; }
  bool isWarmingUp(TimePoint Now) const { return Now < WarmAt_; }
  TimePoint heldUntil() const { return HeldUntil_; }
  bool isAvailable(TimePoint Now) const;
  /// Load, failures and latency against the pool's mean.
  SelectionCost cost(Duration PoolMean, TimePoint Now) const;

private:
  void recordFailure(TimePoint Now);
  void recordSuccess(const AttemptOutcome &Ended, bool WasFull, TimePoint Now);
  void recordShed(TimePoint Now);

  InstanceRecord Record_;
  ConcurrencyLimit Limit_;
  LatencyEstimate Latency_{LatencyMemory};
  SlotCount InUse_;
  bool IsEjected_ = false;
  TimePoint WarmAt_;
  TimePoint HeldUntil_{};
  /// Recent share of failures, 0 to 1, as of FailuresAt_.
  double Failures_ = 0;
  TimePoint FailuresAt_{};
  unsigned FailuresInRow_ = 0;
  unsigned ShedsInRow_ = 0;
  bool RefusesConnections_ = false;
  /// Slots that others were using at LoadReportedAt_, by the instance's word.
  SlotCount UsedByOthers_;
  TimePoint LoadReportedAt_{};
};

} // namespace jaybridge
