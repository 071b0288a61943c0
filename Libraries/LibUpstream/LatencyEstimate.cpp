#include <LibUpstream/LatencyEstimate.h>

#include <algorithm>
#include <bit>

namespace jaybridge {

namespace {

/// The histogram is halved at this many samples.
constexpr std::uint32_t GreatestTotal = 512;
/// The quantile is computed anew after this many samples.
constexpr std::uint64_t RecomputeInterval = 8;
constexpr std::uint64_t BucketsPerDoubling = 4;

std::size_t bucketOf(Duration Elapsed, std::size_t Count) {
  auto Micros = static_cast<std::uint64_t>(std::max<Duration::rep>(
      Elapsed.count(), static_cast<Duration::rep>(BucketsPerDoubling)));
  auto Exponent = static_cast<std::uint64_t>(std::bit_width(Micros)) - 1;
  std::uint64_t Fraction = (Micros >> (Exponent - 2)) - BucketsPerDoubling;
  return std::min<std::size_t>((Exponent - 2) * BucketsPerDoubling + Fraction,
                               Count - 1);
}

Duration upperBoundOf(std::size_t Bucket) {
  std::uint64_t Exponent = Bucket / BucketsPerDoubling;
  std::uint64_t Fraction = Bucket % BucketsPerDoubling;
  return Duration((BucketsPerDoubling + Fraction + 1) << Exponent);
}

} // namespace

void LatencyEstimate::record(Duration Elapsed, TimePoint Now) {
  Samples_ += EventCount(1);
  auto Divisor =
      static_cast<Duration::rep>(std::min(Samples_, Memory_).value());
  Mean_ += (Elapsed - Mean_) / Divisor;
  LastSample_ = Now;
}

void LatencyEstimate::recordLowerBound(Duration Elapsed, TimePoint Now) {
  if (Elapsed > Mean_)
    record(Elapsed, Now);
}

void LatencyQuantile::record(Duration Elapsed) {
  ++Buckets_[bucketOf(Elapsed, BucketCount)];
  ++Total_;
  Seen_ += EventCount(1);
  if (Total_ >= GreatestTotal) {
    Total_ = 0;
    for (std::uint32_t &Each : Buckets_)
      Total_ += (Each /= 2);
  }
  if (Seen_.value() % RecomputeInterval == 0)
    recompute();
}

void LatencyQuantile::recompute() {
  std::uint64_t Wanted = std::uint64_t{Total_} * Rank_.value();
  std::uint64_t Below = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Below += std::uint64_t{Buckets_[Bucket]} * 100;
    if (Below >= Wanted) {
      Value_ = upperBoundOf(Bucket);
      return;
    }
  }
}

} // namespace jaybridge
