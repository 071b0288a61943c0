#include <LibUpstream/CostEstimator.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct ClassCase {
  const char *Name_;
  Duration CheapCost_;
  Duration ExpensiveCost_;
  int ExpensiveCount_;
  bool IsSeparate_;
};

class ClassTest : public testing::TestWithParam<ClassCase> {};

// Guards against one mean for requests whose costs differ, and against an
// estimate from few samples or from a class that does not differ.
TEST_P(ClassTest, SeparatesClassesWhoseMeansDiffer) {
  CostEstimator Costs;
  const ServiceName Service("s");
  const RouteName Route("r");
  const RequestClass Cheap{"GET", BodySizeClass(0), {}};
  const RequestClass Expensive{"POST", BodySizeClass(3), {}};
  for (int Number = 0; Number < 40; ++Number)
    Costs.record(Service, Route, Cheap, GetParam().CheapCost_);
  for (int Number = 0; Number < GetParam().ExpensiveCount_; ++Number)
    Costs.record(Service, Route, Expensive, GetParam().ExpensiveCost_);
  const auto *OfRoute = Costs.find(Service, Route, {"PUT", {}, {}});
  const auto *Found = Costs.find(Service, Route, Expensive);
  ASSERT_TRUE(OfRoute && Found);
  EXPECT_EQ(Found != OfRoute, GetParam().IsSeparate_);
  if (GetParam().IsSeparate_) {
    EXPECT_GT(Found->mean(), GetParam().ExpensiveCost_ * 4 / 5);
    EXPECT_LT(Found->mean(), GetParam().ExpensiveCost_ * 6 / 5);
  }
  EXPECT_TRUE(Costs.find(Service, RouteName("new"), Cheap));
  EXPECT_FALSE(Costs.find(ServiceName("new"), Route, Cheap));
}

INSTANTIATE_TEST_SUITE_P(
    Classes, ClassTest,
    testing::Values(ClassCase{"TenTimes", 50ms, 500ms, 40, true},
                    ClassCase{"Equal", 50ms, 50ms, 40, false},
                    ClassCase{"FewSamples", 50ms, 500ms, 7, false}),
    CaseName());

// Guards against a remaining cost that falls to zero for a request in the tail,
// and against a mean that hides the tail.
TEST(CostDistributionTest, ExpectsMoreOfARequestInTheTail) {
  CostDistribution Costs;
  for (int Number = 0; Number < 100; ++Number)
    Costs.record(Number < 98 ? Duration(100ms) : Duration(600ms));
  EXPECT_GT(Costs.mean(), 95ms);
  EXPECT_LT(Costs.mean(), 125ms);
  EXPECT_LT(Costs.quantile(Percentage(50)), 130ms);
  EXPECT_GT(Costs.quantile(Percentage(99)), 500ms);
  EXPECT_GT(Costs.expectedRemaining(200ms), 300ms);
  EXPECT_GT(Costs.expectedRemaining(2s), 50ms);
}

// Guards against memory that grows with the number of classes or routes.
TEST(CostEstimatorTest, EvictsTheLeastRecentlyUsed) {
  CostEstimator Costs;
  const ServiceName Service("s");
  const RequestClass Kept{"GET", {}, {}};
  for (int Number = 0; Number < 200; ++Number) {
    Costs.record(Service, RouteName("r"), Kept, 1s);
    Costs.record(Service, RouteName("r"),
                 {"M" + std::to_string(Number), {}, {}}, 10ms);
  }
  EXPECT_EQ(Costs.distributionCount(), CostEstimator::MaxClassesPerRoute + 2);
  EXPECT_GT(Costs.find(Service, RouteName("r"), Kept)->mean(), 800ms);
  for (int Number = 0; Number < 2000; ++Number)
    Costs.record(Service, RouteName("r" + std::to_string(Number)), Kept, 1s);
  EXPECT_EQ(Costs.distributionCount(), CostEstimator::MaxDistributions);
}

} // namespace
} // namespace jaybridge
