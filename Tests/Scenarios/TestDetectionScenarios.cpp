#include "DetectionFleet.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace jaybridge {
namespace {

using std::chrono::seconds;

const FleetParameters Agency{
    46, 7, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
const FleetParameters AgencyLarge{
    46, 14, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
/// Only the four home gateways of a service send requests to its instances.
const FleetParameters FourHomes{
    4, 12, 60, ErrorRate(1e-2), ErrorRate(1e-2), Percentage(70)};
const FleetParameters Teranga{
    46, 15, 40, ErrorRate(1e-6), ErrorRate(1e-2), Percentage(70)};
const FleetParameters TerangaSmall{
    46, 8, 40, ErrorRate(1e-6), ErrorRate(1e-2), Percentage(75)};

InstanceBehavior onlyInstanceZero(std::size_t Instance,
                                  InstanceBehavior FaultyBehavior) {
  return Instance == 0 ? FaultyBehavior : InstanceBehavior{};
}

struct DetectionCase {
  const char *Name_;
  FleetParameters Parameters_;
  FaultModel Model_;
  /// Upper bound of the 99th percentile of the time until half of the gateways
  /// stop using instance 0; zero when it must not be ejected.
  Duration DetectionBound_;
};

/// Results of all runs of a case.
struct Summary {
  /// Times to exclusion of the runs that ejected instance 0, sorted.
  std::vector<Duration> ExclusionTimes_;
  /// Runs in which instance 0 was not ejected.
  std::size_t MissedRuns_ = 0;
  std::size_t FalseEjections_ = 0;
  std::size_t MaxEjectedInstances_ = 0;
  double FaultyUseRatio_ = 0;
  double ReportsPerGatewaySecond_ = 0;

  Duration percentile(double Fraction) const {
    if (ExclusionTimes_.empty())
      return Duration::max();
    return ExclusionTimes_[std::min(
        ExclusionTimes_.size() - 1,
        static_cast<std::size_t>(Fraction *
                                 static_cast<double>(ExclusionTimes_.size())))];
  }
};

Summary measure(const DetectionCase &Case, bool IsBaseline) {
  constexpr std::uint64_t Runs = 40;
  constexpr Duration Warmup = seconds(6);
  constexpr Duration After = seconds(20);
  Summary Total;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    // Varies the start of the fault relative to the evidence reports.
    Duration Before = Warmup + Seed * std::chrono::milliseconds(130);
    DetectionResult Result =
        DetectionFleet(Case.Parameters_, Case.Model_, Seed, IsBaseline)
            .run(Before, After);
    if (Result.TimeToExclusion_)
      Total.ExclusionTimes_.push_back(*Result.TimeToExclusion_);
    else
      ++Total.MissedRuns_;
    Total.FalseEjections_ += Result.FalseEjections_;
    Total.MaxEjectedInstances_ =
        std::max(Total.MaxEjectedInstances_, Result.MaxEjectedInstances_);
    Total.FaultyUseRatio_ += Result.FaultyUseRatio_ / static_cast<double>(Runs);
    Total.ReportsPerGatewaySecond_ +=
        static_cast<double>(Result.Reports_) /
        static_cast<double>(Runs * Case.Parameters_.GatewayCount_) /
        std::chrono::duration<double>(Before + After).count();
  }
  std::sort(Total.ExclusionTimes_.begin(), Total.ExclusionTimes_.end());
  auto PercentileMs = [&](double Fraction) {
    return Total.ExclusionTimes_.empty()
               ? -1.0
               : std::chrono::duration<double, std::milli>(
                     Total.percentile(Fraction))
                     .count();
  };
  auto InstanceCount = static_cast<double>(Case.Parameters_.InstanceCount_);
  double InstanceHours =
      static_cast<double>(Runs) * InstanceCount *
      std::chrono::duration<double, std::ratio<3600>>(Warmup + After).count();
  std::printf(
      "%-24s %-9s p50 %6.0f ms  p99 %6.0f ms  not ejected %2zu/%d  "
      "false ejections/instance-hour %.2f  lowest capacity %3.0f%% "
      "(floor %u%%)  faulty in use %3.0f%%  reports/s per gateway %.2f\n",
      Case.Name_, IsBaseline ? "baseline" : "", PercentileMs(0.5),
      PercentileMs(0.99), Total.MissedRuns_, static_cast<int>(Runs),
      static_cast<double>(Total.FalseEjections_) / InstanceHours,
      100 * (InstanceCount - static_cast<double>(Total.MaxEjectedInstances_)) /
          InstanceCount,
      Case.Parameters_.Floor_.value(), 100 * Total.FaultyUseRatio_,
      Total.ReportsPerGatewaySecond_);
  return Total;
}

class DetectionScenario : public testing::TestWithParam<DetectionCase> {};

// Guards against late detection of an instance that fails partially, ejection
// of healthy instances, and capacity below the floor of the profile. Each row
// is a kind of partial failure, or of noise that must not lead to an ejection.
TEST_P(DetectionScenario, KeepsItsBounds) {
  const DetectionCase &Case = GetParam();
  Summary Jaybridge = measure(Case, false);
  measure(Case, true);
  std::uint64_t MaxPermitted =
      permittedEjections(EventCount(Case.Parameters_.InstanceCount_),
                         Case.Parameters_.Floor_)
          .value();
  EXPECT_LE(Jaybridge.MaxEjectedInstances_, MaxPermitted);
  EXPECT_EQ(Jaybridge.FalseEjections_, 0U);
  if (Case.DetectionBound_ == Duration::zero()) {
    EXPECT_TRUE(Jaybridge.ExclusionTimes_.empty());
    return;
  }
  EXPECT_EQ(Jaybridge.MissedRuns_, 0U);
  EXPECT_LE(Jaybridge.percentile(0.99), Case.DetectionBound_);
}

InstanceBehavior halfFailing(std::size_t Instance, std::size_t, Duration) {
  return onlyInstanceZero(Instance, {0.5, 1, false});
}
InstanceBehavior failingWithHealthyProbes(std::size_t Instance, std::size_t,
                                          Duration) {
  return onlyInstanceZero(Instance, {0.5, 0.2, true});
}
InstanceBehavior straggler(std::size_t Instance, std::size_t, Duration) {
  return onlyInstanceZero(Instance, {0.002, 3, true});
}
InstanceBehavior poolWideSlowness(std::size_t, std::size_t, Duration) {
  return {0.002, 3, true};
}
InstanceBehavior poolWideFailures(std::size_t, std::size_t, Duration) {
  return {0.5, 1, false};
}
InstanceBehavior unreachableFromOneGateway(std::size_t Instance,
                                           std::size_t Gateway, Duration) {
  return Instance == 0 && Gateway == 3 ? InstanceBehavior{1, 1, true}
                                       : InstanceBehavior{};
}
InstanceBehavior flapping(std::size_t Instance, std::size_t,
                          Duration SinceFault) {
  return onlyInstanceZero(Instance, (SinceFault / seconds(3)) % 2 == 0
                                        ? InstanceBehavior{0.5, 1, false}
                                        : InstanceBehavior{});
}
InstanceBehavior healthy(std::size_t, std::size_t, Duration) { return {}; }

INSTANTIATE_TEST_SUITE_P(
    Faults, DetectionScenario,
    testing::Values(
        DetectionCase{"HalfFailingAgency", Agency, halfFailing, 1s},
        DetectionCase{"HalfFailingAgencyGreat", AgencyLarge, halfFailing, 1s},
        DetectionCase{"HalfFailingFourHomes", FourHomes, halfFailing, 1s},
        DetectionCase{"StragglerFourHomes", FourHomes, straggler, 3s},
        DetectionCase{"OneWayCutFourHomes", FourHomes,
                      unreachableFromOneGateway, 0s},
        DetectionCase{"HalfFailingTeranga", Teranga, halfFailing, 2s},
        DetectionCase{"GrayBehindGoodProbes", Agency, failingWithHealthyProbes,
                      1s},
        DetectionCase{"StragglerAgency", Agency, straggler, 3s},
        DetectionCase{"StragglerTeranga", TerangaSmall, straggler, 3s},
        DetectionCase{"FlappingAgency", Agency, flapping, 1s},
        DetectionCase{"HealthyNoise", Agency, healthy, 0s},
        DetectionCase{"PoolWideSlowness", Agency, poolWideSlowness, 0s},
        DetectionCase{"PoolWideFailures", Agency, poolWideFailures, 0s},
        DetectionCase{"OneWayCut", Agency, unreachableFromOneGateway, 0s},
        DetectionCase{"OneWayCutTeranga", TerangaSmall,
                      unreachableFromOneGateway, 0s}),
    CaseName());

struct HealthyCase {
  const char *Name_;
  std::size_t GatewayCount_;
  FaultModel Model_;
};

class HealthyHours : public testing::TestWithParam<HealthyCase> {};

// Guards against ejecting healthy instances more often than the profile
// permits. JAYBRIDGE_HEALTHY_HOURS sets the number of simulated instance-hours,
// 5 by default. The target of 1,000 takes minutes and is measured separately
// from the daily tests.
TEST_P(HealthyHours, TerangaEjectsNothing) {
  const char *HoursText = std::getenv("JAYBRIDGE_HEALTHY_HOURS");
  double InstanceHours = HoursText ? std::atof(HoursText) : 5;
  FleetParameters Parameters = Teranga;
  Parameters.GatewayCount_ = GetParam().GatewayCount_;
  auto SimulatedTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(
          InstanceHours / static_cast<double>(Parameters.InstanceCount_)));
  DetectionResult Result =
      DetectionFleet(Parameters, GetParam().Model_, 1).run(0s, SimulatedTime);
  std::printf("%s: %zu ejections in %.0f healthy instance-hours, profile error "
              "rate 1e-6, %.2f reports/s per gateway\n",
              GetParam().Name_, Result.Ejections_, InstanceHours,
              static_cast<double>(Result.Reports_) /
                  static_cast<double>(Parameters.GatewayCount_) /
                  std::chrono::duration<double>(SimulatedTime).count());
  EXPECT_EQ(Result.Ejections_, 0U);
}

/// Healthy instances of one pool whose speeds differ by up to 30%.
InstanceBehavior unequalSpeeds(std::size_t Instance, std::size_t, Duration) {
  return {0.002, 0.85 + 0.1 * static_cast<double>(Instance % 4), true};
}

INSTANTIATE_TEST_SUITE_P(Fleets, HealthyHours,
                         testing::Values(HealthyCase{"Gateways46", 46, healthy},
                                         HealthyCase{"FourHomesUnequal", 4,
                                                     unequalSpeeds}),
                         CaseName());

} // namespace
} // namespace jaybridge
