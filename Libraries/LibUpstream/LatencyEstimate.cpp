#include <LibUpstream/LatencyEstimate.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// All counts of the histogram are halved when their sum reaches this value.
constexpr std::uint32_t MaxHistogramTotal = 512;
/// Number of samples between two computations of the quantile.
constexpr std::uint64_t RecomputeInterval = 8;
} // namespace

void LatencyEstimate::record(Duration Elapsed, TimePoint Now) {
  SampleCount_ += EventCount(1);
  auto Divisor =
      static_cast<Duration::rep>(std::min(SampleCount_, SampleWindow_).value());
  Mean_ += (Elapsed - Mean_) / Divisor;
  LastSampleAt_ = Now;
}

void LatencyEstimate::recordLowerBound(Duration Elapsed, TimePoint Now) {
  if (Elapsed > Mean_)
    record(Elapsed, Now);
}

void LatencyQuantile::record(Duration Elapsed) {
  ++Histogram_[DurationBuckets::of(Elapsed)];
  ++HistogramTotal_;
  SampleCount_ += EventCount(1);
  if (HistogramTotal_ >= MaxHistogramTotal) {
    HistogramTotal_ = 0;
    for (std::uint32_t &BucketTotal : Histogram_)
      HistogramTotal_ += (BucketTotal /= 2);
  }
  // Each of the first samples changes the quantile much.
  if (SampleCount_.value() % RecomputeInterval == 0 ||
      SampleCount_ < DefaultMinSamples)
    recompute();
}

void LatencyQuantile::recompute() {
  std::uint64_t ScaledTarget =
      std::uint64_t{HistogramTotal_} * Percentile_.value();
  std::uint64_t ScaledCount = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    ScaledCount += std::uint64_t{Histogram_[Bucket]} * 100;
    if (ScaledCount >= ScaledTarget) {
      Quantile_ = DurationBuckets::upperBound(Bucket);
      return;
    }
  }
}

} // namespace jaybridge
