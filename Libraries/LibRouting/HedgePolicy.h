#pragma once

#include <LibUpstream/LatencyEstimate.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

/// When a second attempt is worth sending (Dean and Barroso 2013): after the
/// first has taken longer than nearly all recent ones.
class HedgePolicy {
public:
  static constexpr Percentage Rank{95};
  static constexpr Duration LeastDelay = 1ms;

  void record(Duration Elapsed) { Recent_.record(Elapsed); }
  /// None until enough answers were seen.
  std::optional<Duration> delay() const {
    if (!Recent_.hasEnoughSamples())
      return std::nullopt;
    return std::max(LeastDelay, Recent_.value());
  }

private:
  LatencyQuantile Recent_{Rank};
};

} // namespace jaybridge
