#include <LibRouting/AttemptVerdict.h>

#include <Support/CaseName.h>

#include "GatewayHarness.h"

namespace jaybridge {
namespace {

constexpr Duration Mean = 300ms;

struct VerdictCase {
  const char *Name_;
  AttemptResult Result_;
  bool IsOverdue_;
  Duration Elapsed_;
  AttemptResult Verdict_;
};

class VerdictTest : public testing::TestWithParam<VerdictCase> {};

// Guards against sound instances that are blamed for routes with little time,
// and against callers that leave being taken for slowness.
TEST_P(VerdictTest, TellsSlownessFromLittleTime) {
  AttemptOutcome Ended;
  Ended.Result_ = GetParam().Result_;
  Ended.Elapsed_ = GetParam().Elapsed_;
  EXPECT_EQ(verdictOf(Ended, GetParam().IsOverdue_, Mean), GetParam().Verdict_);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, VerdictTest,
    testing::Values(VerdictCase{"Answered", AttemptResult::Answered, true, 2s,
                                AttemptResult::Answered},
                    VerdictCase{"LostAtOnce", AttemptResult::ConnectionLost,
                                false, 1ms, AttemptResult::ConnectionLost},
                    VerdictCase{"TimedOut", AttemptResult::TimedOut, true,
                                1500ms, AttemptResult::TimedOut},
                    VerdictCase{"CancelledAtTheDeadline",
                                AttemptResult::Cancelled, true, 1500ms,
                                AttemptResult::TimedOut},
                    VerdictCase{"CancelledForTheCaller",
                                AttemptResult::Cancelled, false, 1500ms,
                                AttemptResult::Cancelled},
                    VerdictCase{"HardlyAnyTime", AttemptResult::TimedOut, true,
                                400ms, AttemptResult::Cancelled}),
    CaseName());

// Guards against slow instances that stay in use: giliran-sel and
// teranga-roulements lost 500 requests of 9 s to them on a grown day, as the
// gateway cancels the attempt itself when the request's time is over.
TEST(AttemptVerdictTest, ReportsAnInstanceThatOutlastsTheDeadline) {
  GatewayHarness Given(makeProfile(Repeatability::AtMostOnce));
  Given.request("slow");
  const AttemptId Sent = Given.last<SendAttempt>()->Attempt_;
  const TimePoint Deadline = Given.last<SendAttempt>()->Deadline_;
  Given.advanceTo(Deadline);
  ASSERT_NE(Given.last<CancelAttempt>(), nullptr);
  Given.finish(Sent, makeOutcome(AttemptResult::Cancelled, StatusCode(),
                                 Deadline - TimePoint{}));
  ASSERT_NE(Given.last<ReportAttempt>(), nullptr);
  EXPECT_EQ(Given.last<ReportAttempt>()->Result_, AttemptResult::TimedOut);
}

} // namespace
} // namespace jaybridge
