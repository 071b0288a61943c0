#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jaybridge {

/// Index on a logarithmic scale of latencies, four buckets for each doubling.
using LatencyBucket = Quantity<struct LatencyBucketTag, std::uint8_t>;

/// 100 us to about 105 s; what lies outside counts in the outermost buckets.
constexpr std::size_t LatencyBucketCount = 80;

inline LatencyBucket latencyBucketOf(Duration Elapsed) {
  constexpr double LeastMicroseconds = 100;
  constexpr double PerDoubling = 4;
  double Ratio = static_cast<double>(Elapsed.count()) / LeastMicroseconds;
  if (Ratio <= 1)
    return LatencyBucket(0);
  double Index = std::min(std::log2(Ratio) * PerDoubling,
                          static_cast<double>(LatencyBucketCount - 1));
  return LatencyBucket(static_cast<std::uint8_t>(Index));
}

} // namespace jaybridge
