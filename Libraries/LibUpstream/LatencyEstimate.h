#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>
#include <LibUpstream/DurationBuckets.h>

#include <array>
#include <cstdint>

namespace jaybridge {

/// Running mean of latencies: the arithmetic mean of the first samples, then an
/// exponentially weighted mean.
class LatencyEstimate {
public:
  /// Minimum number of samples before the mean may be used to compare
  /// instances.
  static constexpr EventCount MinSamples{5};

  /// The mean follows about the last `SampleWindow` samples.
  explicit LatencyEstimate(EventCount SampleWindow)
      : SampleWindow_(SampleWindow) {}

  void record(Duration Elapsed, TimePoint Now);
  /// Records a lower bound of a latency, such as the age of a cancelled
  /// attempt. It is ignored unless it raises the mean.
  void recordLowerBound(Duration Elapsed, TimePoint Now);

  Duration mean() const { return Mean_; }
  TimePoint lastSampleTime() const { return LastSampleAt_; }
  bool hasEnoughSamples() const { return SampleCount_ >= MinSamples; }

private:
  EventCount SampleWindow_;
  Duration Mean_{};
  EventCount SampleCount_;
  TimePoint LastSampleAt_{};
};

/// Quantile of recent latencies, taken from a histogram with four buckets per
/// doubling (an error of at most 19%). The counts are halved when the histogram
/// is full, so that the quantile follows changes.
class LatencyQuantile {
public:
  static constexpr EventCount DefaultMinSamples{32};

  explicit LatencyQuantile(Percentage Percentile,
                           EventCount MinSamples = DefaultMinSamples)
      : Percentile_(Percentile), MinSamples_(MinSamples) {}

  void record(Duration Elapsed);
  bool hasEnoughSamples() const { return SampleCount_ >= MinSamples_; }
  /// Upper bound of the bucket that contains the quantile.
  Duration value() const { return Quantile_; }

private:
  static constexpr std::size_t BucketCount = DurationBuckets::Count;

  void recompute();

  Percentage Percentile_;
  EventCount MinSamples_;
  EventCount SampleCount_;
  std::uint32_t HistogramTotal_ = 0;
  std::array<std::uint32_t, BucketCount> Histogram_{};
  Duration Quantile_{};
};

} // namespace jaybridge
