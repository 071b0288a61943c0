#include "BaselineGateway.h"
#include "FakeFleet.h"

#include <LibRouting/Gateway.h>
#include <Support/CaseName.h>

#include <cstdio>

namespace jaybridge {
namespace {

Profile makeRules(Repeatability Repeat, ClassWeight Weight) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("test");
  Draft.Repeatability_ = Repeat;
  Draft.IsHedgingAllowed_ = Repeat == Repeatability::Repeatable;
  Draft.Weight_ = Weight;
  return Profile::create(Draft).takeValue();
}

/// The Agency's services at a load.
std::vector<FakeService> makeServices(double Load) {
  return {{"status", makeRules(Repeatability::Repeatable, ClassWeight(1)), 7,
           SlotCount(4), Load},
          {"tickets", makeRules(Repeatability::AtMostOnce, ClassWeight(10)), 12,
           SlotCount(4), Load}};
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
FleetFigures measure(const char *Kind, const FakeWorld &World,
                     Role (*Create)(int, RandomSeed),
                     RandomSeed Seed = RandomSeed(11)) {
  FleetFigures Found = FakeFleet<Role>(World, Create, Seed).run();
  std::printf("%-16s %-11s good %.4f", World.Name_, Kind, Found.goodShare());
  for (const auto &[Name, Of] : Found.Services_)
    std::printf(" %s %.3f", Name.c_str(),
                Of.Good_ / std::min(Of.Offered_, Of.Capacity_));
  std::printf(" doubled %.0f false-not-run %.0f amplification %.3f "
              "collisions %.4f p50 %.1f p99 %.1f ms\n",
              Found.DoubledRuns_, Found.FalseNotRun_, Found.amplification(),
              Found.Collisions_ / Found.Dispatches_,
              static_cast<double>(Found.Median_.count()) / 1000,
              static_cast<double>(Found.Tail_.count()) / 1000);
  return Found;
}

/// A scenario's own measure; greater is better.
using Score = double (*)(const FleetFigures &);

double goodput(const FleetFigures &Found) {
  return Found.WeightedGood_ / Found.WeightedOffered_;
}
double tailSpeed(const FleetFigures &Found) {
  return 1 / static_cast<double>(Found.Tail_.count());
}
double economy(const FleetFigures &Found) { return 1 / Found.amplification(); }

struct ScenarioCase {
  const char *Name_;
  FakeWorld World_;
  Score Score_;
  /// Least share of the requests that the pool can serve.
  double LeastGood_;
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
       tailSpeed,
       0.999},
      {"Straggler",
       {"straggler", 3, makeServices(0.5), {{FaultKind::Slow, 2, 1s, 10s, 5}}},
       tailSpeed,
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
        {{FaultKind::Slow, FakeFault::Everywhere, 3s, 6s, 2.5}}},
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
        {{FaultKind::Slow, FakeFault::Everywhere, 2s, 4s, 6}},
        true},
       goodput,
       0.8},
      {"ErrorStorm",
       {"error storm",
        3,
        makeServices(0.7),
        {{FaultKind::Errors, FakeFault::Everywhere, 2s, 4s, 0.8}},
        true},
       economy,
       0.8},
  };
}

class ScenarioTest : public testing::TestWithParam<ScenarioCase> {};

// Guards against collective behaviour that is worse than a plain balancer's,
// against collapse, and against broken promises under load.
TEST_P(ScenarioTest, MeetsItsTargetAndBeatsTheBaselines) {
  const ScenarioCase &Case = GetParam();
  double Own = 0;
  double Robin = 0;
  double Least = 0;
  for (RandomSeed Seed : {RandomSeed(11), RandomSeed(1), RandomSeed(3)}) {
    FleetFigures Found = measure("jaybridge", Case.World_, createGateway, Seed);
    Own += Case.Score_(Found);
    Robin += Case.Score_(
        measure("round-robin", Case.World_, createBaseline<RoundRobin>, Seed));
    Least += Case.Score_(measure("least-of-2", Case.World_,
                                 createBaseline<LeastLoadedOfTwo>, Seed));
    EXPECT_EQ(Found.DoubledRuns_, 0);
    EXPECT_EQ(Found.FalseNotRun_, 0);
    EXPECT_EQ(Found.Unanswered_, 0);
    for (const auto &[Name, Of] : Found.Services_)
      EXPECT_GE(Of.Good_, Case.LeastGood_ * std::min(Of.Offered_, Of.Capacity_))
          << Name;
  }
  EXPECT_GT(Own, Robin);
  EXPECT_GT(Own, Least);
}

INSTANTIATE_TEST_SUITE_P(Faults, ScenarioTest, testing::ValuesIn(makeCases()),
                         CaseName());

struct HomesCase {
  const char *Name_;
  int Instances_;
  SlotCount Slots_;
};

class HomesTest : public testing::TestWithParam<HomesCase> {};

// Guards the ground of section 3.1: few deciders for a pool must collide less
// than 46 that choose independently.
TEST_P(HomesTest, CollideLessThanIndependentGateways) {
  std::map<int, FleetFigures> Found;
  for (int Deciders : {46, 4, 3}) {
    std::string Name =
        std::string(GetParam().Name_) + " by " + std::to_string(Deciders);
    FakeWorld World{
        Name.c_str(),
        Deciders,
        {{"status", makeRules(Repeatability::Repeatable, ClassWeight(1)),
          GetParam().Instances_, GetParam().Slots_, 0.7}}};
    Found[Deciders] = measure("jaybridge", World, createGateway);
    if (Deciders == 46)
      measure("least-of-2", World, createBaseline<LeastLoadedOfTwo>);
  }
  for (int Deciders : {4, 3}) {
    EXPECT_LT(Found[Deciders].Collisions_, Found[46].Collisions_);
    EXPECT_LT(Found[Deciders].Tail_, Found[46].Tail_);
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
