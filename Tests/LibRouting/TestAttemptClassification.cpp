#include <LibRouting/AttemptClassification.h>

#include <Support/CaseName.h>

#include "GatewayHarness.h"

namespace jaybridge {
namespace {

constexpr Duration MeanLatency = 300ms;

struct ClassificationCase {
  const char *Name_;
  AttemptResult Result_;
  bool IsOverdue_;
  Duration Elapsed_;
  AttemptResult Expected_;
};

class ClassifyAttemptTest : public testing::TestWithParam<ClassificationCase> {
};

// Guards against counting timeouts against healthy instances when a route
// permits less time than the service needs, and against taking a disconnected
// caller for a slow instance.
TEST_P(ClassifyAttemptTest, CountsTimeoutsOnlyAfterEnoughTime) {
  AttemptOutcome AttemptEnd;
  AttemptEnd.Result_ = GetParam().Result_;
  AttemptEnd.Elapsed_ = GetParam().Elapsed_;
  EXPECT_EQ(classifyAttempt(AttemptEnd, GetParam().IsOverdue_, MeanLatency),
            GetParam().Expected_);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, ClassifyAttemptTest,
    testing::Values(
        ClassificationCase{"Answered", AttemptResult::Answered, true, 2s,
                           AttemptResult::Answered},
        ClassificationCase{"LostAtOnce", AttemptResult::ConnectionLost, false,
                           1ms, AttemptResult::ConnectionLost},
        ClassificationCase{"TimedOut", AttemptResult::TimedOut, true, 1500ms,
                           AttemptResult::TimedOut},
        ClassificationCase{"CancelledAtTheDeadline", AttemptResult::Cancelled,
                           true, 1500ms, AttemptResult::TimedOut},
        ClassificationCase{"CancelledForTheCaller", AttemptResult::Cancelled,
                           false, 1500ms, AttemptResult::Cancelled},
        ClassificationCase{"HardlyAnyTime", AttemptResult::TimedOut, true,
                           400ms, AttemptResult::Cancelled}),
    CaseName());

// Guards against slow instances that stay in use: the gateway itself cancels an
// attempt at the deadline of its request, so without the classification no
// timeout is ever reported. In a generated test day, the platforms giliran-sel
// and teranga-roulements lost 500 requests of 9 s to such instances.
TEST(AttemptClassificationTest, ReportsAnInstanceThatOutlastsTheDeadline) {
  GatewayHarness Harness(makeProfile(Repeatability::AtMostOnce));
  Harness.request("slow");
  const AttemptId Sent = Harness.last<SendAttempt>()->Attempt_;
  const TimePoint Deadline = Harness.last<SendAttempt>()->Deadline_;
  Harness.advanceTo(Deadline);
  ASSERT_NE(Harness.last<CancelAttempt>(), nullptr);
  Harness.finish(Sent, makeOutcome(AttemptResult::Cancelled, StatusCode(),
                                   Deadline - TimePoint{}));
  ASSERT_NE(Harness.last<ReportAttempt>(), nullptr);
  EXPECT_EQ(Harness.last<ReportAttempt>()->Result_, AttemptResult::TimedOut);
}

} // namespace
} // namespace jaybridge
