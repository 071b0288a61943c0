#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr Duration ServiceTime = 100ms;
constexpr Duration OverdueAfter = 200ms;

/// A gateway of four instances that knows how long attempts take.
class ExperiencedGateway : public GatewayHarness {
public:
  explicit ExperiencedGateway(Repeatability Repeat,
                              GatewaySettings Settings = defaultSettings())
      : GatewayHarness(makeProfile(Repeat, Repeat == Repeatability::Repeatable),
                       4, SlotCount(2), Settings) {
    for (int Number = 0; Number < 8; ++Number) {
      request("before" + std::to_string(Number));
      const AttemptId Attempt = last<SendAttempt>()->Attempt_;
      advanceTo(Now_ + ServiceTime);
      finish(Attempt, makeOutcome(AttemptResult::Answered, StatusCode(200),
                                  ServiceTime));
    }
  }
};

struct OverdueCase {
  const char *Name_;
  Repeatability Repeat_;
  Duration OpenFor_;
  int Reports_;
  int SecondAttempts_;
};

class OverdueAttemptTest : public testing::TestWithParam<OverdueCase> {};

// Guards against an attempt that hangs and says nothing about its instance
// until its deadline, and against a second attempt of an action.
TEST_P(OverdueAttemptTest, IsReportedOnceAndHedgedIfRepeatable) {
  // Each gateway of such a fleet holds one retry.
  GatewaySettings Settings = GatewayHarness::defaultSettings();
  Settings.RetryBounds_ = {EventCount(1), EventCount(1), true};
  ExperiencedGateway Gateway(GetParam().Repeat_, Settings);
  Gateway.request("q");
  const SendAttempt First = *Gateway.last<SendAttempt>();
  Gateway.advanceTo(Gateway.Now_ + GetParam().OpenFor_);
  EXPECT_EQ(Gateway.count<ReportOverdue>(), GetParam().Reports_);
  EXPECT_EQ(Gateway.count<SendAttempt>(), GetParam().SecondAttempts_);
  EXPECT_EQ(Gateway.count<ReportRetry>(), GetParam().SecondAttempts_);
  if (GetParam().SecondAttempts_ > 0) {
    EXPECT_NE(Gateway.last<SendAttempt>()->Instance_, First.Instance_);
  }
  Gateway.advanceTo(Gateway.Now_ + 1ms);
  EXPECT_EQ(Gateway.count<ReportOverdue>(), 0);
  Gateway.finish(First.Attempt_, makeOutcome(AttemptResult::Answered));
  ASSERT_NE(Gateway.last<ReportAttempt>(), nullptr);
  EXPECT_EQ(Gateway.last<ReportAttempt>()->WasOverdue_,
            GetParam().Reports_ > 0);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, OverdueAttemptTest,
    testing::Values(
        OverdueCase{"InTime", Repeatability::Repeatable, ServiceTime, 0, 0},
        OverdueCase{"Repeatable", Repeatability::Repeatable, OverdueAfter, 1,
                    1},
        OverdueCase{"Action", Repeatability::AtMostOnce, OverdueAfter, 1, 0}),
    CaseName());

// Guards against attempts that are taken for overdue by a gateway that does not
// know how long they take.
TEST(OverdueAttempts, AreNotReportedWithoutExperience) {
  GatewayHarness Gateway(makeProfile(Repeatability::AtMostOnce));
  Gateway.request("q");
  Gateway.advanceTo(Gateway.Now_ + 900ms);
  EXPECT_EQ(Gateway.count<ReportOverdue>(), 0);
}

// Guards against second attempts beyond the budget of the fleet.
TEST(OverdueAttempts, AreHedgedWithinTheBudget) {
  GatewaySettings Settings = GatewayHarness::defaultSettings();
  Settings.RetryBounds_ = {EventCount(1), EventCount(1), true};
  ExperiencedGateway Gateway(Repeatability::Repeatable, Settings);
  for (const char *Id : {"q1", "q2", "q3"})
    Gateway.request(Id);
  Gateway.advanceTo(Gateway.Now_ + OverdueAfter);
  EXPECT_EQ(Gateway.count<ReportOverdue>(), 3);
  EXPECT_EQ(Gateway.count<SendAttempt>(), 1);
}

} // namespace
} // namespace jaybridge
