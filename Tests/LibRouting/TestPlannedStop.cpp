#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr TimePoint StopAt = TimePoint{} + 10s;
constexpr DrainStarted PlannedStop{StopAt + 3s, StopAt + 5s};

Profile makePatientProfile(Repeatability Repeat) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("patient");
  Draft.Repeatability_ = Repeat;
  Draft.Patience_ = 15s;
  return Profile::create(Draft).takeValue();
}

/// A gateway with one instance of two slots that stops at StopAt.
class StoppingGateway : public GatewayHarness {
public:
  explicit StoppingGateway(const Profile &ServiceProfile)
      : GatewayHarness(ServiceProfile, 1) {}

  /// Serves a request with this service time before the stop.
  void serve(const std::string &Id, Duration ServiceTime) {
    request(Id);
    Served_ = last<SendAttempt>()->Attempt_;
    advanceTo(Now_ + ServiceTime);
    finish(Served_,
           makeOutcome(AttemptResult::Answered, StatusCode(200), ServiceTime));
  }
  void stop() {
    advanceTo(StopAt);
    handle(PlannedStop);
  }

private:
  AttemptId Served_;
};

struct StopCase {
  const char *Name_;
  /// Longest attempt before the stop; none if nothing was served.
  std::optional<Duration> Longest_;
  Duration ArrivesAfterStop_;
  bool IsSent_;
};

class PlannedStopTest : public testing::TestWithParam<StopCase> {};

// Guards against requests that are taken late in the grace period of a planned
// stop, sent to an instance and cut without an answer when the process ends,
// and against refusing requests that can still be served.
TEST_P(PlannedStopTest, TakesOnlyWhatCanEndInTime) {
  StoppingGateway Gateway(makePatientProfile(Repeatability::AtMostOnce));
  if (GetParam().Longest_) {
    Gateway.serve("before", *GetParam().Longest_);
    Gateway.serve("short", 100ms);
  }
  Gateway.stop();
  Gateway.advanceTo(StopAt + GetParam().ArrivesAfterStop_);
  Gateway.request("late");
  EXPECT_EQ(Gateway.count<SendAttempt>(), GetParam().IsSent_ ? 1 : 0);
  if (GetParam().IsSent_)
    return;
  ASSERT_NE(Gateway.refusal(), nullptr);
  EXPECT_EQ(Gateway.refusal()->Reason_, RefusalReason::Draining);
  EXPECT_EQ(Gateway.refusal()->Outcome_, Outcome::NotRun);
  EXPECT_TRUE(Gateway.refusal()->RetryAfter_);
}

INSTANTIATE_TEST_SUITE_P(
    Times, PlannedStopTest,
    testing::Values(StopCase{"ShortAtOnce", 300ms, 0ms, true},
                    StopCase{"ShortLate", 300ms, 2900ms, true},
                    StopCase{"LongAtOnce", 3200ms, 0ms, true},
                    StopCase{"LongLate", 3200ms, 2100ms, false},
                    StopCase{"AfterTheListenerClosed", 300ms, 3000ms, false},
                    StopCase{"UnknownTime", std::nullopt, 0ms, false}),
    CaseName());

// Guards against a request that waits for a slot during a planned stop and is
// sent when it can no longer end in time.
TEST(PlannedStop, RefusesAWaitingRequestThatCannotEndInTime) {
  StoppingGateway Gateway(makePatientProfile(Repeatability::AtMostOnce));
  Gateway.serve("before", 3200ms);
  Gateway.advanceTo(StopAt - 1s);
  Gateway.request("first");
  const AttemptId First = Gateway.last<SendAttempt>()->Attempt_;
  Gateway.request("second");
  Gateway.request("waiting");
  Gateway.stop();
  Gateway.advanceTo(StopAt + 2s);
  Gateway.finish(First,
                 makeOutcome(AttemptResult::Answered, StatusCode(200), 3s));
  EXPECT_EQ(Gateway.count<SendAttempt>(), 0);
  ASSERT_NE(Gateway.refusal(), nullptr);
  EXPECT_EQ(Gateway.refusal()->Outcome_, Outcome::NotRun);
}

// Guards against a request that gets no answer at all because its instance
// outlasts the grace period.
TEST(PlannedStop, AnswersWhatIsStillRunningAtItsEnd) {
  StoppingGateway Gateway(makePatientProfile(Repeatability::AtMostOnce));
  Gateway.serve("before", 100ms);
  Gateway.advanceTo(StopAt - 1s);
  Gateway.request("endless");
  Gateway.stop();
  ASSERT_TRUE(Gateway.Gateway_.nextDeadline());
  EXPECT_EQ(*Gateway.Gateway_.nextDeadline(), PlannedStop.FinishBy_);
  Gateway.advanceTo(PlannedStop.FinishBy_);
  ASSERT_NE(Gateway.refusal(), nullptr);
  EXPECT_EQ(Gateway.refusal()->Outcome_, Outcome::Unknown);
  EXPECT_EQ(Gateway.count<CancelAttempt>(), 1);
}

// Guards against a later notice that extends a planned stop, such as that of a
// second signal.
TEST(PlannedStop, IsNotExtendedByALaterNotice) {
  StoppingGateway Gateway(makePatientProfile(Repeatability::AtMostOnce));
  Gateway.serve("before", 100ms);
  Gateway.stop();
  Gateway.handle(DrainStarted{});
  Gateway.request("late");
  EXPECT_EQ(Gateway.count<SendAttempt>(), 0);
}

// Guards against a gateway that ends while a request waits for the first
// routing table.
TEST(PlannedStop, IsNotCompleteWhileRequestsAreHeld) {
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable));
  auto Held = std::make_shared<Request>();
  Held->Id_ = RequestId("held");
  Held->Authority_ = "a.example";
  Held->Target_ = "/p/x";
  Harness.handle(RequestReceived{Held, false});
  Harness.handle(DrainStarted{});
  EXPECT_FALSE(Harness.Gateway_.isDrained());
}

} // namespace
} // namespace jaybridge
