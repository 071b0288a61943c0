#include "DetectionFleet.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace jaybridge {
namespace {

using std::chrono::seconds;

const FleetShape Agency{
    46, 7, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
const FleetShape AgencyGreat{
    46, 14, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
/// The same with the four homes of a service in place of all gateways.
const FleetShape FourHomes{
    4, 12, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
const FleetShape Teranga{
    46, 15, 40, ErrorRate(1e-6), ErrorRate(1e-2), Percentage(70)};
const FleetShape TerangaSmall{
    46, 8, 40, ErrorRate(1e-6), ErrorRate(1e-2), Percentage(75)};

Behaviour onlyFirst(std::size_t Instance, Behaviour Faulty) {
  return Instance == 0 ? Faulty : Behaviour{};
}

struct DetectionCase {
  const char *Name_;
  FleetShape Shape_;
  Fault Fault_;
  /// Bound for 99 runs in 100; zero when the instance must not be ejected.
  Duration Within_;
};

struct Summary {
  std::vector<Duration> Applied_;
  std::size_t Missed_ = 0;
  std::size_t FalseEjections_ = 0;
  std::size_t GreatestUnion_ = 0;
  double UsedShare_ = 0;
  double ReportsPerGatewaySecond_ = 0;

  Duration percentile(double Share) const {
    if (Applied_.empty())
      return Duration::max();
    return Applied_[std::min(
        Applied_.size() - 1,
        static_cast<std::size_t>(Share *
                                 static_cast<double>(Applied_.size())))];
  }
};

Summary measure(const DetectionCase &Case, bool IsBaseline) {
  constexpr std::uint64_t Runs = 40;
  constexpr Duration Warmup = seconds(6);
  constexpr Duration After = seconds(20);
  Summary All;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    // The fault starts anywhere between two reports.
    Duration Before = Warmup + Seed * std::chrono::milliseconds(130);
    FleetResult Run = DetectionFleet(Case.Shape_, Case.Fault_, Seed, IsBaseline)
                          .run(Before, After);
    if (Run.Applied_)
      All.Applied_.push_back(*Run.Applied_);
    else
      ++All.Missed_;
    All.FalseEjections_ += Run.FalseEjections_;
    All.GreatestUnion_ = std::max(All.GreatestUnion_, Run.GreatestUnion_);
    All.UsedShare_ += Run.UsedShare_ / static_cast<double>(Runs);
    All.ReportsPerGatewaySecond_ +=
        static_cast<double>(Run.Reports_) /
        static_cast<double>(Runs * Case.Shape_.Gateways_) /
        std::chrono::duration<double>(Before + After).count();
  }
  std::sort(All.Applied_.begin(), All.Applied_.end());
  auto Milliseconds = [&](double Share) {
    return All.Applied_.empty() ? -1.0
                                : std::chrono::duration<double, std::milli>(
                                      All.percentile(Share))
                                      .count();
  };
  auto Size = static_cast<double>(Case.Shape_.Instances_);
  double Hours =
      static_cast<double>(Runs) * Size *
      std::chrono::duration<double, std::ratio<3600>>(Warmup + After).count();
  std::printf("%-24s %-9s p50 %6.0f ms  p99 %6.0f ms  not ejected %2zu/%d  "
              "false ejections/instance-hour %.2f  lowest capacity %3.0f%% "
              "(floor %u%%)  bad in use %3.0f%%  reports/s and gateway %.2f\n",
              Case.Name_, IsBaseline ? "baseline" : "", Milliseconds(0.5),
              Milliseconds(0.99), All.Missed_, static_cast<int>(Runs),
              static_cast<double>(All.FalseEjections_) / Hours,
              100 * (Size - static_cast<double>(All.GreatestUnion_)) / Size,
              Case.Shape_.Floor_.value(), 100 * All.UsedShare_,
              All.ReportsPerGatewaySecond_);
  return All;
}

class DetectionScenario : public testing::TestWithParam<DetectionCase> {};

// Each row is a kind of gray failure. Guards against late detection, against
// ejections of healthy instances and against capacity below the floor.
TEST_P(DetectionScenario, KeepsItsBounds) {
  const DetectionCase &Case = GetParam();
  Summary Ours = measure(Case, false);
  measure(Case, true);
  std::uint64_t Permitted =
      permittedEjections(EventCount(Case.Shape_.Instances_), Case.Shape_.Floor_)
          .value();
  EXPECT_LE(Ours.GreatestUnion_, Permitted);
  EXPECT_EQ(Ours.FalseEjections_, 0U);
  if (Case.Within_ == Duration::zero()) {
    EXPECT_TRUE(Ours.Applied_.empty());
    return;
  }
  EXPECT_EQ(Ours.Missed_, 0U);
  EXPECT_LE(Ours.percentile(0.99), Case.Within_);
}

Behaviour halfFailing(std::size_t I, std::size_t, Duration) {
  return onlyFirst(I, {0.5, 1, false});
}
Behaviour grayBehindGoodProbes(std::size_t I, std::size_t, Duration) {
  return onlyFirst(I, {0.5, 0.2, true});
}
Behaviour straggler(std::size_t I, std::size_t, Duration) {
  return onlyFirst(I, {0.002, 3, true});
}
Behaviour poolWideSlowness(std::size_t, std::size_t, Duration) {
  return {0.002, 3, true};
}
Behaviour poolWideFailures(std::size_t, std::size_t, Duration) {
  return {0.5, 1, false};
}
Behaviour oneWayCut(std::size_t I, std::size_t G, Duration) {
  return I == 0 && G == 3 ? Behaviour{1, 1, true} : Behaviour{};
}
Behaviour flapping(std::size_t I, std::size_t, Duration Since) {
  return onlyFirst(I, (Since / seconds(3)) % 2 == 0 ? Behaviour{0.5, 1, false}
                                                    : Behaviour{});
}
Behaviour healthy(std::size_t, std::size_t, Duration) { return {}; }

INSTANTIATE_TEST_SUITE_P(
    Faults, DetectionScenario,
    testing::Values(
        DetectionCase{"HalfFailingAgency", Agency, halfFailing, 1s},
        DetectionCase{"HalfFailingAgencyGreat", AgencyGreat, halfFailing, 1s},
        DetectionCase{"HalfFailingFourHomes", FourHomes, halfFailing, 1s},
        DetectionCase{"StragglerFourHomes", FourHomes, straggler, 3s},
        DetectionCase{"OneWayCutFourHomes", FourHomes, oneWayCut, 0s},
        DetectionCase{"HalfFailingTeranga", Teranga, halfFailing, 2s},
        DetectionCase{"GrayBehindGoodProbes", Agency, grayBehindGoodProbes, 1s},
        DetectionCase{"StragglerAgency", Agency, straggler, 3s},
        DetectionCase{"StragglerTeranga", TerangaSmall, straggler, 3s},
        DetectionCase{"FlappingAgency", Agency, flapping, 1s},
        DetectionCase{"HealthyNoise", Agency, healthy, 0s},
        DetectionCase{"PoolWideSlowness", Agency, poolWideSlowness, 0s},
        DetectionCase{"PoolWideFailures", Agency, poolWideFailures, 0s},
        DetectionCase{"OneWayCut", Agency, oneWayCut, 0s},
        DetectionCase{"OneWayCutTeranga", TerangaSmall, oneWayCut, 0s}),
    CaseName());

struct HealthyCase {
  const char *Name_;
  std::size_t Gateways_;
  Fault Behave_;
};

class HealthyHours : public testing::TestWithParam<HealthyCase> {};

// Guards against ejections of healthy instances above the rate of the profile.
// JAYBRIDGE_HEALTHY_HOURS sets the instance-hours; the target of 1,000 takes
// minutes and is measured apart from the daily tests.
TEST_P(HealthyHours, TerangaEjectsNothing) {
  const char *Setting = std::getenv("JAYBRIDGE_HEALTHY_HOURS");
  double Hours = Setting ? std::atof(Setting) : 5;
  FleetShape Shape = Teranga;
  Shape.Gateways_ = GetParam().Gateways_;
  auto Length = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(
          Hours / static_cast<double>(Shape.Instances_)));
  FleetResult Run =
      DetectionFleet(Shape, GetParam().Behave_, 1).run(0s, Length);
  std::printf("%s: %zu ejections in %.0f healthy instance-hours, profile error "
              "rate 1e-6, %.2f reports/s and gateway\n",
              GetParam().Name_, Run.Ejections_, Hours,
              static_cast<double>(Run.Reports_) /
                  static_cast<double>(Shape.Gateways_) /
                  std::chrono::duration<double>(Length).count());
  EXPECT_EQ(Run.Ejections_, 0U);
}

/// Healthy instances of one pool that differ by up to 30% in speed.
Behaviour unequal(std::size_t I, std::size_t, Duration) {
  return {0.002, 0.85 + 0.1 * static_cast<double>(I % 4), true};
}

INSTANTIATE_TEST_SUITE_P(Fleets, HealthyHours,
                         testing::Values(HealthyCase{"Gateways46", 46, healthy},
                                         HealthyCase{"FourHomesUnequal", 4,
                                                     unequal}),
                         CaseName());

} // namespace
} // namespace jaybridge
