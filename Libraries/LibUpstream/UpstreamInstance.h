#pragma once

#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/CandidateView.h>
#include <LibUpstream/ConcurrencyLimit.h>
#include <LibUpstream/InstanceRecord.h>
#include <LibUpstream/LatencyEstimate.h>
#include <LibUpstream/Placement.h>
#include <LibUpstream/RejectionShare.h>
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

  /// With placement by cost, nothing that a gateway learned about an instance
  /// keeps it from the instance for longer than this: a gateway sends few
  /// requests to each instance and so learns late that it works again.
  static constexpr Duration MaxExclusion = 1s;
  /// Time from a rejection until its weight has halved.
  static constexpr Duration RejectionHalfLife = 1s;
  /// Rejections in a row from which on an instance counts as rejecting most.
  static constexpr unsigned MinRejectionsInRow = 3;
  /// Time after a run in which the instance is expected to run requests.
  static constexpr Duration RunEvidenceLifetime = 5s;

  UpstreamInstance(InstanceRecord Record, TimePoint Now, bool IsCold,
                   Placement Mode = Placement::Load);

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
    if (Mode_ == Placement::Cost && Now >= ProbationEndsAt_)
      return false;
    return IsOnProbation_ && isWarmingUp(Now);
  }
  /// Decayed share of requests that the instance rejected as not run; 0 with
  /// placement by load.
  RequestShare rejectionShare(TimePoint Now) const {
    return Rejections_.share(Now);
  }
  /// Rejects most requests: it takes one at a time until it runs one.
  bool isOnTrial(TimePoint Now) const {
    return Mode_ == Placement::Cost &&
           ConsecutiveSheds_ >= MinRejectionsInRow && Now < TrialEndsAt_;
  }
  /// Ran its last request recently.
  bool hasRunRecently(TimePoint Now) const {
    return LastRunAt_ && Now - *LastRunAt_ < RunEvidenceLifetime;
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
  /// Takes a rejection with placement by cost.
  void recordRejection(TimePoint Now);
  SlotCount warmUpLimit(TimePoint Now) const;

  InstanceRecord Record_;
  Placement Mode_;
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
  RejectionShare Rejections_{RejectionHalfLife};
  TimePoint TrialEndsAt_{};
  TimePoint ProbationEndsAt_{};
  /// None after a rejection or a failure.
  std::optional<TimePoint> LastRunAt_;
  /// Slots used by other gateways at LoadReportedAt_, as reported by the
  /// instance.
  SlotCount SlotsUsedByOthers_;
  TimePoint LoadReportedAt_{};
};

} // namespace jaybridge
