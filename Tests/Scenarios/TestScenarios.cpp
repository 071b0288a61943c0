#include "BaselineGateway.h"
#include "FakeFleet.h"

#include <LibRouting/Gateway.h>
#include <Support/CaseName.h>

#include <cstdio>

namespace jaybridge {
namespace {

Profile makeProfile(Repeatability Repeat, ClassWeight Weight) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("test");
  Draft.Repeatability_ = Repeat;
  Draft.IsHedgingAllowed_ = Repeat == Repeatability::Repeatable;
  Draft.Weight_ = Weight;
  return Profile::create(Draft).takeValue();
}

/// The services of the Agency at Load times the capacity of their slots.
std::vector<FakeService> makeServices(double Load) {
  return {{"status", makeProfile(Repeatability::Repeatable, ClassWeight(1)), 7,
           SlotCount(4), Load},
          {"tickets", makeProfile(Repeatability::AtMostOnce, ClassWeight(10)),
           12, SlotCount(4), Load}};
}

Gateway createGateway(int Number, RandomSeed Seed) {
  constexpr int Domains = 3;
  return Gateway::create(
             GatewaySettings{
                 MemberId("g" + std::to_string(Number)),
                 FailureDomain("d" + std::to_string(Number % Domains))},
             Seed)
      .takeValue();
}

template <typename Policy>
BaselineGateway<Policy> createBaseline(int /*Number*/, RandomSeed Seed) {
  return BaselineGateway<Policy>(Seed);
}

template <typename Role>
FleetStatistics measure(const char *GatewayType, const FleetScenario &Scenario,
                        Role (*CreateGateway)(int, RandomSeed),
                        RandomSeed Seed = RandomSeed(11)) {
  FleetStatistics Measured =
      FakeFleet<Role>(Scenario, CreateGateway, Seed).run();
  std::printf("%-16s %-11s good %.4f", Scenario.Name_, GatewayType,
              Measured.successRatio());
  for (const auto &[Name, Service] : Measured.Services_)
    std::printf(" %s %.3f", Name.c_str(),
                Service.Succeeded_ /
                    std::min(Service.Offered_, Service.Capacity_));
  std::printf(" doubled %.0f false-not-run %.0f amplification %.3f "
              "collisions %.4f p50 %.1f p99 %.1f ms\n",
              Measured.DuplicateRuns_, Measured.FalseNotRun_,
              Measured.amplification(),
              Measured.Collisions_ / Measured.DispatchedAttempts_,
              static_cast<double>(Measured.MedianLatency_.count()) / 1000,
              static_cast<double>(Measured.P99Latency_.count()) / 1000);
  return Measured;
}

/// Objective of a scenario; a greater value is better.
using Score = double (*)(const FleetStatistics &);

double goodput(const FleetStatistics &Measured) {
  return Measured.WeightedSucceeded_ / Measured.WeightedOffered_;
}
double inverseP99Latency(const FleetStatistics &Measured) {
  return 1 / static_cast<double>(Measured.P99Latency_.count());
}
double inverseAmplification(const FleetStatistics &Measured) {
  return 1 / Measured.amplification();
}

struct ScenarioCase {
  const char *Name_;
  FleetScenario Scenario_;
  Score Score_;
  /// Minimum of successful requests, as a fraction of the offered requests or,
  /// when lower, of the capacity of the pool.
  double MinSuccessRatio_;
};

std::vector<FakeFault> makeRollingRestart() {
  constexpr int Instances = 12;
  std::vector<FakeFault> Faults;
  Faults.reserve(Instances);
  for (int Number = 0; Number < Instances; ++Number)
    Faults.push_back(
        {FaultKind::Restart, Number, 1s + Number * 2s, 3s + Number * 2s});
  return Faults;
}

std::vector<ScenarioCase> makeCases() {
  return {
      {"HealthyNoise",
       {"healthy noise", 3, makeServices(0.7)},
       inverseP99Latency,
       0.999},
      {"Straggler",
       {"straggler", 3, makeServices(0.5), {{FaultKind::Slow, 2, 1s, 10s, 5}}},
       inverseP99Latency,
       0.999},
      {"GrayErrors",
       {"gray errors",
        3,
        makeServices(0.5),
        {{FaultKind::Errors, 2, 1s, 10s, 0.5}}},
       goodput,
       0.99},
      {"PoolWideSlowness",
       {"slow pool",
        3,
        makeServices(0.6),
        {{FaultKind::Slow, FakeFault::AllInstances, 3s, 6s, 2.5}}},
       goodput,
       0.85},
      {"Overload", {"overload", 3, makeServices(3)}, goodput, 0.95},
      {"OverloadImpatient",
       {"impatient", 3, makeServices(3), {}, false, 10s, 100ms},
       goodput,
       0.95},
      {"OverloadByAll", {"overload by 46", 46, makeServices(3)}, goodput, 0.95},
      {"OverloadTenfold", {"overload x10", 3, makeServices(10)}, goodput, 0.95},
      {"RollingRestart",
       {"rolling restart", 3, makeServices(0.6), makeRollingRestart(), false,
        27s},
       goodput,
       0.999},
      {"RetryStorm",
       {"retry storm",
        3,
        makeServices(0.8),
        {{FaultKind::Slow, FakeFault::AllInstances, 2s, 4s, 6}},
        true},
       goodput,
       0.8},
      {"ErrorStorm",
       {"error storm",
        3,
        makeServices(0.7),
        {{FaultKind::Errors, FakeFault::AllInstances, 2s, 4s, 0.8}},
        true},
       inverseAmplification,
       0.8},
  };
}

class ScenarioTest : public testing::TestWithParam<ScenarioCase> {};

// Guards against goodput, latency or amplification that is worse than with
// conventional load balancers, against a collapse of the goodput under load or
// faults, and against duplicate runs, false not-run answers and missing
// answers.
TEST_P(ScenarioTest, MeetsItsTargetAndBeatsTheBaselines) {
  const ScenarioCase &Case = GetParam();
  double JaybridgeScore = 0;
  double RoundRobinScore = 0;
  double LeastLoadedScore = 0;
  for (RandomSeed Seed : {RandomSeed(11), RandomSeed(1), RandomSeed(3)}) {
    FleetStatistics Measured =
        measure("jaybridge", Case.Scenario_, createGateway, Seed);
    JaybridgeScore += Case.Score_(Measured);
    RoundRobinScore += Case.Score_(measure("round-robin", Case.Scenario_,
                                           createBaseline<RoundRobin>, Seed));
    LeastLoadedScore += Case.Score_(measure(
        "least-of-2", Case.Scenario_, createBaseline<LeastLoadedOfTwo>, Seed));
    EXPECT_EQ(Measured.DuplicateRuns_, 0);
    EXPECT_EQ(Measured.FalseNotRun_, 0);
    EXPECT_EQ(Measured.AnswerCountErrors_, 0);
    for (const auto &[Name, Service] : Measured.Services_)
      EXPECT_GE(Service.Succeeded_,
                Case.MinSuccessRatio_ *
                    std::min(Service.Offered_, Service.Capacity_))
          << Name;
  }
  EXPECT_GT(JaybridgeScore, RoundRobinScore);
  EXPECT_GT(JaybridgeScore, LeastLoadedScore);
}

INSTANTIATE_TEST_SUITE_P(Faults, ScenarioTest, testing::ValuesIn(makeCases()),
                         CaseName());

struct HomesCase {
  const char *Name_;
  int InstanceCount_;
  SlotCount Slots_;
};

class HomesTest : public testing::TestWithParam<HomesCase> {};

// Guards the reason for service homes (docs/design.md, section 3.1): few
// gateways that select instances of a pool must send fewer attempts to
// instances without a free slot than 46 independent ones.
TEST_P(HomesTest, CollideLessThanIndependentGateways) {
  std::map<int, FleetStatistics> Measured;
  for (int GatewayCount : {46, 4, 3}) {
    std::string Name =
        std::string(GetParam().Name_) + " by " + std::to_string(GatewayCount);
    FleetScenario Scenario{
        Name.c_str(),
        GatewayCount,
        {{"status", makeProfile(Repeatability::Repeatable, ClassWeight(1)),
          GetParam().InstanceCount_, GetParam().Slots_, 0.7}}};
    Measured[GatewayCount] = measure("jaybridge", Scenario, createGateway);
    if (GatewayCount == 46)
      measure("least-of-2", Scenario, createBaseline<LeastLoadedOfTwo>);
  }
  for (int GatewayCount : {4, 3}) {
    EXPECT_LT(Measured[GatewayCount].Collisions_, Measured[46].Collisions_);
    EXPECT_LT(Measured[GatewayCount].P99Latency_, Measured[46].P99Latency_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Pools, HomesTest,
    testing::Values(HomesCase{"SevenOfFour", 7, SlotCount(4)},
                    HomesCase{"EightOfThree", 8, SlotCount(3)},
                    HomesCase{"FifteenOfThree", 15, SlotCount(3)}),
    CaseName());

} // namespace
} // namespace jaybridge
