#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <array>
#include <cstdint>

namespace jaybridge {

/// Mean of latencies: plain over the first samples, then exponentially
/// weighted.
class LatencyEstimate {
public:
  /// A mean of fewer samples says too little to compare instances by.
  static constexpr EventCount LeastSamples{5};

  /// The mean follows about the last `Memory` samples.
  explicit LatencyEstimate(EventCount Memory) : Memory_(Memory) {}

  void record(Duration Elapsed, TimePoint Now);
  /// Takes a lower bound, such as the age of a cancelled attempt: counts only
  /// when it raises the mean.
  void recordLowerBound(Duration Elapsed, TimePoint Now);

  Duration mean() const { return Mean_; }
  TimePoint lastSample() const { return LastSample_; }
  bool hasEnoughSamples() const { return Samples_ >= LeastSamples; }

private:
  EventCount Memory_;
  Duration Mean_{};
  EventCount Samples_;
  TimePoint LastSample_{};
};

/// Quantile of recent latencies from a histogram with four buckets per
/// doubling (an error of at most 19%), halved as it fills so that it follows
/// changes.
class LatencyQuantile {
public:
  static constexpr EventCount LeastSamples{32};

  explicit LatencyQuantile(Percentage Rank) : Rank_(Rank) {}

  void record(Duration Elapsed);
  bool hasEnoughSamples() const { return Seen_ >= LeastSamples; }
  /// Upper bound of the bucket that holds the quantile.
  Duration value() const { return Value_; }

private:
  static constexpr std::size_t BucketCount = 128;

  void recompute();

  Percentage Rank_;
  EventCount Seen_;
  std::uint32_t Total_ = 0;
  std::array<std::uint32_t, BucketCount> Buckets_{};
  Duration Value_{};
};

} // namespace jaybridge
