#pragma once

#include <LibCore/Identifiers.h>
#include <LibUpstream/LatencyEstimate.h>

#include <map>
#include <optional>

namespace jaybridge {

/// Decides when an attempt is overdue: when it has been open far longer than
/// answered attempts of its route take. A gateway that has seen few requests
/// of the route goes by the whole service.
class OverduePolicy {
public:
  static constexpr Percentage TypicalPercentile{90};
  /// Percentage of the typical time after which an attempt is overdue.
  static constexpr Percentage OverduePercentage{150};
  static constexpr Duration MinDelay = 20ms;
  /// Small, since a gateway sends few requests of each route.
  static constexpr EventCount MinSamples{3};
  /// Routes with an estimate of their own; the others share the service's.
  static constexpr std::size_t MaxRoutes = 1024;

  /// Records an answered attempt.
  void record(const RouteName &Route, Duration Elapsed);
  /// Time from the start of an attempt until it is overdue; none until there
  /// are enough samples.
  std::optional<Duration> delay(const RouteName &Route) const;

private:
  LatencyQuantile OfService_{TypicalPercentile, MinSamples};
  std::map<RouteName, LatencyQuantile> OfRoutes_;
};

} // namespace jaybridge
