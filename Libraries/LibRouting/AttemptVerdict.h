#pragma once

#include <LibUpstream/AttemptOutcome.h>

namespace jaybridge {

/// A timeout says something of the instance from this many mean latencies on.
/// Some routes give less time than their service needs.
constexpr int TellingTimeout = 3;

/// What the end of an attempt says about its instance. An attempt that was
/// cancelled as its request's time was over timed out; one that was given
/// hardly any time says no more than one that its caller gave up. Without a
/// mean latency every timeout counts.
inline AttemptResult verdictOf(const AttemptOutcome &Ended, bool IsOverdue,
                               Duration MeanLatency) {
  const bool IsTimeout =
      Ended.Result_ == AttemptResult::TimedOut ||
      (Ended.Result_ == AttemptResult::Cancelled && IsOverdue);
  if (!IsTimeout)
    return Ended.Result_;
  return Ended.Elapsed_ < TellingTimeout * MeanLatency
             ? AttemptResult::Cancelled
             : AttemptResult::TimedOut;
}

} // namespace jaybridge
