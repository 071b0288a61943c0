#include "BaselineGateway.h"
#include "FakeFleet.h"

#include <LibRouting/Gateway.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <cstdio>

namespace jaybridge {
namespace {

Profile makeProfile(Repeatability Repeat) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("test");
  Draft.Repeatability_ = Repeat;
  return Profile::create(Draft).takeValue();
}

template <Placement Mode> Gateway createGateway(int Number, RandomSeed Seed) {
  GatewaySettings Settings;
  Settings.Self_ = MemberId("g" + std::to_string(Number));
  Settings.Domain_ = FailureDomain("d" + std::to_string(Number % 3));
  Settings.RetryBounds_ = {EventCount(1), EventCount(1), false};
  Settings.Placement_ = Mode;
  return Gateway::create(Settings, Seed).takeValue();
}

template <typename Role>
FleetStatistics measure(const char *Type, const FleetScenario &Scenario,
                        Role (*Create)(int, RandomSeed), RandomSeed Seed) {
  FleetStatistics Measured = FakeFleet<Role>(Scenario, Create, Seed).run();
  double WorstClass = 1;
  for (const auto &[Name, Service] : Measured.Services_)
    WorstClass = std::min(WorstClass, Service.Succeeded_ / Service.Offered_);
  std::printf("%-22s seed %2llu %-10s served %.3f worst-class %.3f rejections "
              "%6.0f starved %4.0f p50 %.1f p99 %.1f ms\n",
              Scenario.Name_, static_cast<unsigned long long>(Seed.value()),
              Type, Measured.successRatio(), WorstClass, Measured.Rejections_,
              Measured.StarvedSpans_,
              static_cast<double>(Measured.MedianLatency_.count()) / 1000,
              static_cast<double>(Measured.P99Latency_.count()) / 1000);
  return Measured;
}

/// Two classes of requests, each with its own pool.
std::vector<FakeService> makeServices(double Load) {
  return {
      {"reads", makeProfile(Repeatability::Repeatable), 30, SlotCount(4), Load},
      {"actions", makeProfile(Repeatability::AtMostOnce), 30, SlotCount(4),
       Load}};
}

struct PlacementCase {
  const char *Name_;
  FleetScenario Scenario_;
};

class PlacementScenarioTest : public testing::TestWithParam<PlacementCase> {};

// Guards against a placement by cost that serves a class worse than placement
// by load, spends more attempts on rejections, or keeps instances without
// requests for 2 s.
TEST_P(PlacementScenarioTest, IsNotWorseThanPlacementByLoad) {
  const FleetScenario &Scenario = GetParam().Scenario_;
  for (RandomSeed Seed : {RandomSeed(11), RandomSeed(1), RandomSeed(3)}) {
    FleetStatistics ByCost =
        measure("cost", Scenario, createGateway<Placement::Cost>, Seed);
    FleetStatistics ByLoad =
        measure("load", Scenario, createGateway<Placement::Load>, Seed);
    measure(
        "least-of-2", Scenario,
        +[](int, RandomSeed GatewaySeed) {
          return BaselineGateway<LeastLoadedOfTwo>(GatewaySeed);
        },
        Seed);
    for (const auto &[Name, Service] : ByLoad.Services_)
      EXPECT_GE(ByCost.Services_[Name].Succeeded_, Service.Succeeded_) << Name;
    EXPECT_LE(ByCost.Rejections_, ByLoad.Rejections_);
    EXPECT_LE(ByCost.StarvedSpans_, ByLoad.StarvedSpans_);
    EXPECT_EQ(ByCost.DuplicateRuns_, 0);
    EXPECT_EQ(ByCost.FalseNotRun_, 0);
    EXPECT_EQ(ByCost.AnswerCountErrors_, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Loads, PlacementScenarioTest,
    testing::Values(
        PlacementCase{"MostRejectHalf",
                      {"most reject half",
                       90,
                       makeServices(0.6),
                       {{FaultKind::Rejections, FakeFault::AllInstances, 2s,
                         10s, 0.55, 25}}}},
        PlacementCase{"OthersHaveRoom",
                      {"others have room",
                       90,
                       makeServices(0.2),
                       {{FaultKind::Rejections, FakeFault::AllInstances, 2s,
                         10s, 0.55, 25}}}},
        PlacementCase{"Overload", {"overload", 90, makeServices(1.5)}}),
    CaseName());

} // namespace
} // namespace jaybridge
