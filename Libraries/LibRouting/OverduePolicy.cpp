#include <LibRouting/OverduePolicy.h>

#include <algorithm>

namespace jaybridge {

void OverduePolicy::record(const RouteName &Route, Duration Elapsed) {
  OfService_.record(Elapsed);
  auto Found = OfRoutes_.find(Route);
  if (Found == OfRoutes_.end()) {
    if (OfRoutes_.size() >= MaxRoutes)
      return;
    Found =
        OfRoutes_.emplace(Route, LatencyQuantile(TypicalPercentile, MinSamples))
            .first;
  }
  Found->second.record(Elapsed);
}

std::optional<Duration> OverduePolicy::delay(const RouteName &Route) const {
  auto Found = OfRoutes_.find(Route);
  const LatencyQuantile &Typical =
      Found != OfRoutes_.end() && Found->second.hasEnoughSamples()
          ? Found->second
          : OfService_;
  if (!Typical.hasEnoughSamples())
    return std::nullopt;
  return std::max(MinDelay, Typical.value() * OverduePercentage.value() / 100);
}

} // namespace jaybridge
