#pragma once

#include <LibUpstream/AttemptOutcome.h>

namespace jaybridge {

/// A timeout counts against the instance from this many mean latencies on.
/// Some routes give less time than their service needs.
constexpr int MinTimeoutFactor = 3;

/// Classifies the end of an attempt for the health of its instance. An attempt
/// that was cancelled at the deadline of its request timed out. One that was
/// given hardly any time counts like one that its caller gave up. Without a
/// mean latency every timeout counts.
inline AttemptResult classifyAttempt(const AttemptOutcome &AttemptEnd,
                                     bool IsOverdue, Duration MeanLatency) {
  const bool IsTimeout =
      AttemptEnd.Result_ == AttemptResult::TimedOut ||
      (AttemptEnd.Result_ == AttemptResult::Cancelled && IsOverdue);
  if (!IsTimeout)
    return AttemptEnd.Result_;
  return AttemptEnd.Elapsed_ < MinTimeoutFactor * MeanLatency
             ? AttemptResult::Cancelled
             : AttemptResult::TimedOut;
}

} // namespace jaybridge
