#include <LibUpstream/CostEstimator.h>

#include <algorithm>
#include <bit>

namespace jaybridge {

namespace {

/// Inverse of the difference of means from which on a class is kept apart from
/// its route.
constexpr Duration::rep SeparationDivisor = 4;

} // namespace

BodySizeClass bodySizeClassOf(ByteCount Size) {
  return BodySizeClass(
      static_cast<std::uint8_t>((std::bit_width(Size.value()) + 1) / 2));
}

void CostDistribution::record(Duration Cost) {
  ++Counts_[DurationBuckets::of(Cost)];
  ++Total_;
  SampleCount_ += EventCount(1);
  if (Total_ < MaxTotal)
    return;
  Total_ = 0;
  for (std::uint16_t &Count : Counts_)
    Total_ += (Count /= 2);
}

Duration CostDistribution::quantile(Percentage Percentile) const {
  std::uint64_t ScaledTarget = std::uint64_t{Total_} * Percentile.value();
  std::uint64_t ScaledCount = 0;
  for (std::size_t Bucket = 0; Bucket < Counts_.size() && Total_ > 0;
       ++Bucket) {
    ScaledCount += std::uint64_t{Counts_[Bucket]} * 100;
    if (ScaledCount >= ScaledTarget && ScaledCount > 0)
      return DurationBuckets::upperBound(Bucket);
  }
  return Duration::zero();
}

Duration CostDistribution::expectedRemaining(Duration Age) const {
  Duration Sum{};
  Duration::rep Longer = 0;
  for (std::size_t Bucket = 0; Bucket < Counts_.size(); ++Bucket) {
    Duration Cost = DurationBuckets::middle(Bucket);
    if (Cost <= Age)
      continue;
    Sum += (Cost - Age) * Counts_[Bucket];
    Longer += Counts_[Bucket];
  }
  if (Longer > 0)
    return Sum / Longer;
  return Age > Duration::zero() && Total_ > 0 ? mean() : Duration::zero();
}

void CostEstimator::record(const ServiceName &Service, const RouteName &Route,
                           const RequestClass &Class, Duration Cost) {
  recordAt(Key{Service, std::nullopt, std::nullopt}, Cost);
  recordAt(Key{Service, Route, std::nullopt}, Cost);
  recordAt(Key{Service, Route, Class}, Cost);
}

void CostEstimator::recordAt(const Key &Recorded, Duration Cost) {
  auto Found = Entries_.find(Recorded);
  if (Found == Entries_.end()) {
    limitClasses(Recorded);
    if (Entries_.size() >= MaxDistributions)
      remove(ByUse_.begin()->second);
    Found = Entries_.emplace(Recorded, Entry{}).first;
  }
  ByUse_.erase(Found->second.LastUse_);
  LastUse_ = LastUse_.next();
  Found->second.LastUse_ = LastUse_;
  ByUse_.emplace(LastUse_, Found);
  Found->second.Costs_.record(Cost);
}

void CostEstimator::limitClasses(const Key &Added) {
  if (!Added.Class_)
    return;
  // The classes of a route follow the entry of the route itself.
  auto First =
      Entries_.upper_bound(Key{Added.Service_, Added.Route_, std::nullopt});
  auto Oldest = First;
  std::size_t ClassCount = 0;
  for (auto Class = First;
       Class != Entries_.end() && Class->first.Service_ == Added.Service_ &&
       Class->first.Route_ == Added.Route_;
       ++Class, ++ClassCount)
    if (Class->second.LastUse_ < Oldest->second.LastUse_)
      Oldest = Class;
  if (ClassCount >= MaxClassesPerRoute)
    remove(Oldest);
}

void CostEstimator::remove(EntryMap::iterator Removed) {
  ByUse_.erase(Removed->second.LastUse_);
  Entries_.erase(Removed);
}

const CostDistribution *CostEstimator::findAt(const Key &Wanted) const {
  auto Found = Entries_.find(Wanted);
  return Found == Entries_.end() || !Found->second.Costs_.hasEnoughSamples()
             ? nullptr
             : &Found->second.Costs_;
}

const CostDistribution *CostEstimator::find(const ServiceName &Service,
                                            const RouteName &Route,
                                            const RequestClass &Class) const {
  const CostDistribution *OfRoute = findAt(Key{Service, Route, std::nullopt});
  const CostDistribution *OfClass = findAt(Key{Service, Route, Class});
  if (OfClass && OfRoute) {
    Duration Difference = OfClass->mean() - OfRoute->mean();
    if (std::max(Difference, -Difference) * SeparationDivisor >=
        OfRoute->mean())
      return OfClass;
  }
  return OfRoute ? OfRoute : findAt(Key{Service, std::nullopt, std::nullopt});
}

} // namespace jaybridge
