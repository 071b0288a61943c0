#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jaybridge {

/// Index on a logarithmic scale of latencies, with four buckets per doubling.
using LatencyBucket = Quantity<struct LatencyBucketTag, std::uint8_t>;

/// The buckets cover 100 us to about 105 s; latencies outside that range count
/// in the outermost buckets.
constexpr std::size_t LatencyBucketCount = 80;

inline LatencyBucket latencyBucketOf(Duration Elapsed) {
  constexpr double MinMicroseconds = 100;
  constexpr double BucketsPerDoubling = 4;
  double Ratio = static_cast<double>(Elapsed.count()) / MinMicroseconds;
  if (Ratio <= 1)
    return LatencyBucket(0);
  double Index = std::min(std::log2(Ratio) * BucketsPerDoubling,
                          static_cast<double>(LatencyBucketCount - 1));
  return LatencyBucket(static_cast<std::uint8_t>(Index));
}

} // namespace jaybridge
