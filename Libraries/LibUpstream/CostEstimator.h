#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>
#include <LibProfile/Team.h>
#include <LibUpstream/DurationBuckets.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace jaybridge {

/// Sizes of bodies in powers of four.
using BodySizeClass = Quantity<struct BodySizeClassTag, std::uint8_t>;
BodySizeClass bodySizeClassOf(ByteCount Size);

/// What may separate the costs of requests within a route.
struct RequestClass {
  std::string Method_;
  BodySizeClass BodySize_;
  /// Empty without teams.
  TeamName Team_;

  // Not defaulted: clang-tidy 14 reports findings inside defaulted comparisons.
  friend bool operator<(const RequestClass &Left, const RequestClass &Right) {
    return std::tie(Left.Method_, Left.BodySize_, Left.Team_) <
           std::tie(Right.Method_, Right.BodySize_, Right.Team_);
  }
};

/// Distribution of the costs (times that instances take) of recent requests.
/// All counts are halved when the histogram is full, so that it follows
/// changes.
class CostDistribution {
public:
  static constexpr EventCount MinSamples{8};

  void record(Duration Cost);
  bool hasEnoughSamples() const { return SampleCount_ >= MinSamples; }
  /// Zero without samples.
  Duration mean() const { return expectedRemaining(Duration::zero()); }
  /// Upper bound of the bucket that contains the quantile; zero without
  /// samples.
  Duration quantile(Percentage Percentile) const;
  /// Expected time from now on of a request that has taken Age already. The
  /// mean where no recorded request took longer.
  Duration expectedRemaining(Duration Age) const;

private:
  static constexpr std::uint32_t MaxTotal = 512;

  EventCount SampleCount_;
  std::uint32_t Total_ = 0;
  std::array<std::uint16_t, DurationBuckets::Count> Counts_{};
};

/// Learns the costs of requests by service, route and class from answered
/// attempts.
class CostEstimator {
public:
  static constexpr std::size_t MaxClassesPerRoute = 64;
  /// Distributions of services, routes and classes together.
  static constexpr std::size_t MaxDistributions = 1024;

  void record(const ServiceName &Service, const RouteName &Route,
              const RequestClass &Class, Duration Cost);
  /// Distribution of the class where its mean differs by a quarter or more from
  /// the route's, else the route's, else the service's. Null without enough
  /// samples. The pointer is valid until the next record().
  const CostDistribution *find(const ServiceName &Service,
                               const RouteName &Route,
                               const RequestClass &Class) const;
  std::size_t distributionCount() const { return Entries_.size(); }

private:
  /// Without a class, all requests of the route; without a route, of the
  /// service.
  struct Key {
    ServiceName Service_;
    std::optional<RouteName> Route_;
    std::optional<RequestClass> Class_;

    friend bool operator<(const Key &Left, const Key &Right) {
      return std::tie(Left.Service_, Left.Route_, Left.Class_) <
             std::tie(Right.Service_, Right.Route_, Right.Class_);
    }
  };
  using UseOrdinal = Ordinal<struct UseOrdinalTag>;
  struct Entry {
    CostDistribution Costs_;
    UseOrdinal LastUse_;
  };
  using EntryMap = std::map<Key, Entry>;

  void recordAt(const Key &Recorded, Duration Cost);
  /// Removes the least recently used class of the route if it has the maximum.
  void limitClasses(const Key &Added);
  void remove(EntryMap::iterator Removed);
  const CostDistribution *findAt(const Key &Wanted) const;

  EntryMap Entries_;
  std::map<UseOrdinal, EntryMap::iterator> ByUse_;
  UseOrdinal LastUse_;
};

} // namespace jaybridge
