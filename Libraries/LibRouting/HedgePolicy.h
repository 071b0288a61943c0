#pragma once

#include <LibUpstream/LatencyEstimate.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

/// Delay after which a request is hedged with a second attempt: the 95th
/// percentile of recent latencies (Dean and Barroso 2013, "The Tail at Scale").
class HedgePolicy {
public:
  static constexpr Percentage DelayPercentile{95};
  static constexpr Duration MinDelay = 1ms;

  void record(Duration Elapsed) { RecentLatencies_.record(Elapsed); }
  /// None until there are enough samples.
  std::optional<Duration> delay() const {
    if (!RecentLatencies_.hasEnoughSamples())
      return std::nullopt;
    return std::max(MinDelay, RecentLatencies_.value());
  }

private:
  LatencyQuantile RecentLatencies_{DelayPercentile};
};

} // namespace jaybridge
