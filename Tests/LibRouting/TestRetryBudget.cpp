#include <LibRouting/RetryBudget.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct BudgetCase {
  const char *Name_;
  Percentage Share_;
  int FirstAttempts_;
  int Hedges_;
  int Retries_;
};

class RetryBudgetTest : public testing::TestWithParam<BudgetCase> {};

// Guards against more retries than the share permits, and against hedges that
// use up the retries of failed requests.
TEST_P(RetryBudgetTest, LimitsHedgesAndRetriesToTheShare) {
  RetryBudget Budget(GetParam().Share_);
  for (int Number = 0; Number < GetParam().FirstAttempts_; ++Number)
    Budget.depositFirstAttempt();
  int Hedges = 0;
  while (Budget.withdrawHedge())
    ++Hedges;
  int Retries = 0;
  while (Budget.withdrawRetry())
    ++Retries;
  EXPECT_EQ(Hedges, GetParam().Hedges_);
  EXPECT_EQ(Retries, GetParam().Retries_);
}

INSTANTIATE_TEST_SUITE_P(
    Shares, RetryBudgetTest,
    testing::Values(BudgetCase{"None", Percentage(0), 1000, 0, 0},
                    BudgetCase{"Start", Percentage(10), 0, 0, 10},
                    BudgetCase{"Tenth", Percentage(10), 200, 20, 10},
                    BudgetCase{"Bounded", Percentage(50), 1000, 90, 10}),
    CaseName());

struct FleetRefillCase {
  const char *Name_;
  int FirstAttempts_;
  std::uint64_t Granted_;
  int Retries_;
};

class FleetRefillTest : public testing::TestWithParam<FleetRefillCase> {};

// Guards against first attempts that still add retries when the fleet refills
// the budget, and against a balance above its maximum.
TEST_P(FleetRefillTest, PermitsOnlyGrantedRetries) {
  RetryBudget Budget(Percentage(20), {EventCount(1), EventCount(1),
                                      /*IsRefilledByFleet_=*/true});
  ASSERT_TRUE(Budget.withdrawRetry());
  for (int Number = 0; Number < GetParam().FirstAttempts_; ++Number)
    Budget.depositFirstAttempt();
  Budget.refill(EventCount(GetParam().Granted_));
  int Retries = 0;
  while (Budget.withdrawRetry())
    ++Retries;
  EXPECT_EQ(Retries, GetParam().Retries_);
}

INSTANTIATE_TEST_SUITE_P(Grants, FleetRefillTest,
                         testing::Values(FleetRefillCase{"None", 1000, 0, 0},
                                         FleetRefillCase{"One", 0, 1, 1},
                                         FleetRefillCase{"MoreThanItHolds", 0,
                                                         5, 1}),
                         CaseName());

} // namespace
} // namespace jaybridge
