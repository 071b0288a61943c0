#include "RegistryFleet.h"

#include <LibRegistry/RetryPool.h>
#include <Support/CaseName.h>

namespace jaybridge {
namespace {

const ServiceName Service("s");

struct PoolCase {
  const char *Name_;
  std::uint64_t Allowance_;
  std::size_t MemberCount_;
  std::uint64_t Outcomes_;
  std::uint64_t Requested_;
  std::uint64_t Granted_;
};

class RetryPoolTest : public testing::TestWithParam<PoolCase> {};

// Guards against pools of several members that together exceed the limit of the
// fleet, against retries beyond the permitted share of the outcomes, and
// against so many members that no part holds a whole retry.
TEST_P(RetryPoolTest, GrantsAShareOfTheOutcomesUpToItsCapacity) {
  RetryPool Pool(EventCount(GetParam().Allowance_));
  Pool.deposit(Service, EventCount(GetParam().Outcomes_),
               GetParam().MemberCount_);
  EXPECT_EQ(Pool.withdraw(Service, EventCount(GetParam().Requested_)).value(),
            GetParam().Granted_);
  EXPECT_EQ(Pool.withdraw(ServiceName("other"), EventCount(1)).value(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Deposits, RetryPoolTest,
    testing::Values(PoolCase{"Nothing", 60, 1, 0, 5, 0},
                    PoolCase{"TooFewForOne", 60, 1, 6, 5, 0},
                    PoolCase{"AShare", 60, 1, 50, 20, 8},
                    PoolCase{"NoMoreThanWanted", 60, 1, 50, 3, 3},
                    PoolCase{"FullOfOne", 60, 1, 100000, 100, 12},
                    PoolCase{"PartOfFive", 60, 5, 100000, 100, 2},
                    PoolCase{"OneOfManyMembers", 60, 15, 100000, 100, 1},
                    PoolCase{"LargeAllowance", 400, 15, 100000, 100, 5}),
    CaseName());

// Guards against a gateway that runs out of retries when all failures occur at
// it, and against more retries than the fleet may make.
TEST(RetryPoolFleetTest, ReplacesSpentRetriesUpToTheLimitOfTheFleet) {
  RegistryFleet Fleet(3, 4);
  InstanceRecord Instance{InstanceId("i"),
                          Service,
                          Endpoint::create("10.5.0.1:80").takeValue(),
                          FailureDomain("d0"),
                          SlotCount(4),
                          InstanceState::Serving,
                          Incarnation(5)};
  Fleet.electAndAnnounce(Instance);
  Fleet.run(8s);
  ReportAttempt Answered;
  Answered.Service_ = Service;
  Answered.Instance_ = Instance.Id_;
  Answered.Status_ = StatusCode(200);
  constexpr int Requests = 100;
  for (int Number = 0; Number < Requests; ++Number)
    Fleet.finishAttempt(0, Answered);
  Fleet.run(2s);
  // All failures occur at one gateway.
  constexpr std::uint64_t Spent = 10;
  for (std::uint64_t Number = 0; Number < Spent; ++Number)
    Fleet.spendRetry(0, Service);
  Fleet.run(100ms);
  const std::uint64_t Granted = Fleet.view(0).RetriesGranted_.value();
  EXPECT_GE(Granted, 3U);
  EXPECT_LE(Granted, ControlSettings{}.RetryAllowance_.value() /
                         RetryPool::AllowanceDivisor);
  EXPECT_EQ(Fleet.view(1).RetriesGranted_, EventCount(0));
}

} // namespace
} // namespace jaybridge
