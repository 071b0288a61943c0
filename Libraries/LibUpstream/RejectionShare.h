#pragma once

#include <LibCore/Time.h>
#include <LibUpstream/Placement.h>

namespace jaybridge {

/// Share of recent requests that were rejected as not run. Each request loses
/// half of its weight per half-life, so that a share never outlasts its cause
/// for long, even when no further request is sent.
class RejectionShare {
public:
  explicit RejectionShare(Duration HalfLife) : HalfLife_(HalfLife) {}

  void recordRun(TimePoint Now);
  void recordRejection(TimePoint Now);

  /// Rejected requests among the recorded ones and one assumed to run.
  RequestShare share(TimePoint Now) const;
  /// Share of requests to reject without an attempt, so that the attempts
  /// exceed three times those that run by about one. It stays below 1: single
  /// attempts show when capacity returns (Beyer et al. 2016, "Site Reliability
  /// Engineering", chapter 21).
  RequestShare excess(TimePoint Now) const;
  /// Rejected requests for each one that ran, one more being assumed to run.
  double rejectionsPerRun(TimePoint Now) const;

private:
  double decayAt(TimePoint Now) const;
  void decay(TimePoint Now);

  Duration HalfLife_;
  double Runs_ = 0;
  double Rejections_ = 0;
  TimePoint DecayedAt_{};
};

} // namespace jaybridge
