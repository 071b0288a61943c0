#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr auto Repeatable = Repeatability::Repeatable;
constexpr auto AtMostOnce = Repeatability::AtMostOnce;

struct AttemptEndCase {
  const char *Name_;
  Repeatability Repeatability_;
  AttemptResult Result_;
  StatusCode Code_;
  bool IsRetried_;
  /// Outcome of the refusal if the request is not retried; none if the caller
  /// gets the upstream's response.
  std::optional<Outcome> Outcome_;
};

class AttemptEndTest : public testing::TestWithParam<AttemptEndCase> {};

// Guards against retrying a request that is not repeatable and may have run,
// and against a refusal whose outcome the end of the attempt does not prove.
TEST_P(AttemptEndTest, RetriesOnlyIfPermitted) {
  const AttemptEndCase &Case = GetParam();
  GatewayHarness Harness(makeProfile(Case.Repeatability_));
  Harness.request("r");
  InstanceId First = Harness.last<SendAttempt>()->Instance_;
  Harness.finish(AttemptId(1), makeOutcome(Case.Result_, Case.Code_));
  EXPECT_EQ(Harness.count<SendAttempt>(), Case.IsRetried_ ? 1 : 0);
  EXPECT_EQ(Harness.count<AnswerCaller>(), Case.IsRetried_ ? 0 : 1);
  EXPECT_EQ(Harness.count<ReportAttempt>(), 1);
  if (Case.IsRetried_) {
    EXPECT_NE(Harness.last<SendAttempt>()->Instance_, First);
    return;
  }
  ASSERT_EQ(Harness.refusal() != nullptr, Case.Outcome_.has_value());
  if (Case.Outcome_) {
    EXPECT_EQ(Harness.refusal()->Outcome_, *Case.Outcome_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends, AttemptEndTest,
    testing::Values(AttemptEndCase{"Answer",
                                   Repeatable,
                                   AttemptResult::Answered,
                                   StatusCode(200),
                                   false,
                                   {}},
                    AttemptEndCase{"ErrorOfRead",
                                   Repeatable,
                                   AttemptResult::Answered,
                                   StatusCode(500),
                                   true,
                                   {}},
                    AttemptEndCase{"ErrorOfOrder",
                                   AtMostOnce,
                                   AttemptResult::Answered,
                                   StatusCode(500),
                                   false,
                                   {}},
                    AttemptEndCase{"ShedRead",
                                   Repeatable,
                                   AttemptResult::RefusedNotRun,
                                   StatusCode(),
                                   true,
                                   {}},
                    AttemptEndCase{"ShedOrder",
                                   AtMostOnce,
                                   AttemptResult::RefusedNotRun,
                                   StatusCode(),
                                   true,
                                   {}},
                    AttemptEndCase{"UnconnectedOrder",
                                   AtMostOnce,
                                   AttemptResult::ConnectFailed,
                                   StatusCode(),
                                   true,
                                   {}},
                    AttemptEndCase{"LostRead",
                                   Repeatable,
                                   AttemptResult::ConnectionLost,
                                   StatusCode(),
                                   true,
                                   {}},
                    AttemptEndCase{"LostOrder", AtMostOnce,
                                   AttemptResult::ConnectionLost, StatusCode(),
                                   false, Outcome::Unknown},
                    AttemptEndCase{"CutShortRead",
                                   Repeatable,
                                   AttemptResult::ResponseTruncated,
                                   StatusCode(),
                                   true,
                                   {}},
                    AttemptEndCase{"CutShortOrder", AtMostOnce,
                                   AttemptResult::ResponseTruncated,
                                   StatusCode(), false, Outcome::Unknown},
                    AttemptEndCase{"TimedOutOrder", AtMostOnce,
                                   AttemptResult::TimedOut, StatusCode(), false,
                                   Outcome::Unknown},
                    AttemptEndCase{"TooLargeRead", Repeatable,
                                   AttemptResult::ResponseTooLarge,
                                   StatusCode(), false, Outcome::Ran}),
    CaseName());

struct SuspectedCase {
  const char *Name_;
  AttemptResult Result_;
  bool IsRetried_;
};

class SuspectedRequestTest : public testing::TestWithParam<SuspectedCase> {};

// Guards against a second instance that ends under a request which is suspected
// of ending instances, and against refusing the request itself.
TEST_P(SuspectedRequestTest, RunsAtOneInstance) {
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable));
  Request Suspected;
  Suspected.Service_ = ServiceName("s");
  Suspected.Target_ = "/r";
  Harness.handle(FingerprintsQuarantined{{}, {fingerprintOf(Suspected)}});
  Harness.request("r");
  const auto *Sent = Harness.last<SendAttempt>();
  ASSERT_TRUE(Sent);
  Harness.finish(Sent->Attempt_, makeOutcome(GetParam().Result_));
  EXPECT_EQ(Harness.count<SendAttempt>(), GetParam().IsRetried_ ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    Results, SuspectedRequestTest,
    testing::Values(SuspectedCase{"Lost", AttemptResult::ConnectionLost, false},
                    SuspectedCase{"CutShort", AttemptResult::ResponseTruncated,
                                  false},
                    SuspectedCase{"Shed", AttemptResult::RefusedNotRun, true}),
    CaseName());

struct RefusalCase {
  const char *Name_;
  bool HasKey_;
  void (*Prepare_)(GatewayHarness &);
  RefusalReason Reason_;
  Outcome Outcome_;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against admitting requests that cannot be served, and against
// reporting a request with a key as not-run when an earlier copy may have run.
TEST_P(RefusalTest, RefusesWithTheProvenOutcome) {
  GatewayHarness Harness(makeProfile(AtMostOnce));
  GetParam().Prepare_(Harness);
  Harness.request("r", GetParam().HasKey_);
  if (Harness.last<ClaimKey>())
    Harness.handle(ClaimDecided{RequestId("r"), ClaimGranted{}});
  ASSERT_NE(Harness.refusal(), nullptr);
  EXPECT_EQ(Harness.refusal()->Reason_, GetParam().Reason_);
  EXPECT_EQ(Harness.refusal()->Outcome_, GetParam().Outcome_);
  EXPECT_EQ(Harness.count<SendAttempt>(), 0);
}

void removeService(GatewayHarness &Harness) {
  Harness.handle(CatalogChanged{ConfigurationVersion(2), {}});
}
void drainGateway(GatewayHarness &Harness) { Harness.handle(DrainStarted{}); }
template <InstanceState State>
void changeAllInstances(GatewayHarness &Harness) {
  for (const char *Id : {"i0", "i1"})
    Harness.handle(InstanceChanged{
        makeInstance(Id, "s", SlotCount(2), State, Incarnation(1))});
}
void quarantineRequest(GatewayHarness &Harness) {
  Request Crashing;
  Crashing.Service_ = ServiceName("s");
  Crashing.Target_ = "/r";
  Harness.handle(FingerprintsQuarantined{{fingerprintOf(Crashing)}});
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, RefusalTest,
    testing::Values(RefusalCase{"UnknownService", false, removeService,
                                RefusalReason::UnknownService, Outcome::NotRun},
                    RefusalCase{"UnknownServiceWithKey", true, removeService,
                                RefusalReason::UnknownService,
                                Outcome::Unknown},
                    RefusalCase{"Drain", false, drainGateway,
                                RefusalReason::Draining, Outcome::NotRun},
                    RefusalCase{"DrainWithKey", true, drainGateway,
                                RefusalReason::Draining, Outcome::Unknown},
                    RefusalCase{"InstancesDrain", false,
                                changeAllInstances<InstanceState::Draining>,
                                RefusalReason::NoInstance, Outcome::NotRun},
                    RefusalCase{"InstancesLeft", false,
                                changeAllInstances<InstanceState::Left>,
                                RefusalReason::NoInstance, Outcome::NotRun},
                    RefusalCase{"InstancesLapsedWithGrantedKey", true,
                                changeAllInstances<InstanceState::Lapsed>,
                                RefusalReason::NoInstance, Outcome::NotRun},
                    RefusalCase{"CrashesUpstreams", false, quarantineRequest,
                                RefusalReason::CrashesUpstreams,
                                Outcome::NotRun}),
    CaseName());

enum class ClaimEnd { Nothing, Released, Finished };

struct ClaimCase {
  const char *Name_;
  Repeatability Repeatability_;
  bool IsDispatched_;
  ClaimEnd ClaimEnd_;
  std::optional<Outcome> RefusedOutcome_;
  void (*Run_)(GatewayHarness &);
};

class ClaimTest : public testing::TestWithParam<ClaimCase> {};

// Guards against dispatching a request with a key before its claim is granted,
// and against claims that stay open or are wrongly released or finished.
TEST_P(ClaimTest, DispatchesOnlyAfterTheGrant) {
  const ClaimCase &Case = GetParam();
  GatewayHarness Harness(makeProfile(Case.Repeatability_));
  Harness.request("r", true);
  EXPECT_EQ(Harness.count<ClaimKey>(),
            Case.Repeatability_ == AtMostOnce ? 1 : 0);
  EXPECT_EQ(Harness.count<SendAttempt>(),
            Case.Repeatability_ == AtMostOnce ? 0 : 1);
  Case.Run_(Harness);
  if (Case.Repeatability_ == AtMostOnce) {
    EXPECT_EQ(Harness.count<SendAttempt>(), Case.IsDispatched_ ? 1 : 0);
  }
  EXPECT_EQ(Harness.count<ReleaseKey>(), Case.ClaimEnd_ == ClaimEnd::Released);
  EXPECT_EQ(Harness.count<FinishKey>(), Case.ClaimEnd_ == ClaimEnd::Finished);
  ASSERT_EQ(Harness.refusal() != nullptr, Case.RefusedOutcome_.has_value());
  if (Case.RefusedOutcome_) {
    EXPECT_EQ(Harness.refusal()->Outcome_, *Case.RefusedOutcome_);
  }
}

void grant(GatewayHarness &Harness) {
  Harness.handle(ClaimDecided{RequestId("r"), ClaimGranted{}});
}
void deny(GatewayHarness &Harness) {
  Harness.handle(ClaimDecided{
      RequestId("r"),
      Answer(Refusal{Outcome::Unknown, RefusalReason::InProgress, {}, {}})});
}
void disconnect(GatewayHarness &Harness) {
  Harness.handle(CallerDisconnected{RequestId("r")});
}
void passDeadline(GatewayHarness &Harness) {
  Harness.advanceTo(Harness.Now_ + 1s);
}
/// The process was suspended: after the deadline the grant is handled before
/// any timer.
void grantTooLate(GatewayHarness &Harness) {
  Harness.Now_ += 2s;
  Harness.Effects_.clear();
  Harness.Gateway_.handle(ClaimDecided{RequestId("r"), ClaimGranted{}},
                          Harness.Now_, Harness.Effects_);
}
template <AttemptResult Result> void grantAndEnd(GatewayHarness &Harness) {
  grant(Harness);
  Harness.finish(AttemptId(1), makeOutcome(Result));
}
void disconnectThenAnswer(GatewayHarness &Harness) {
  grant(Harness);
  disconnect(Harness);
  EXPECT_EQ(Harness.count<FinishKey>(), 0);
  EXPECT_EQ(Harness.count<CancelAttempt>(), 1);
  Harness.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  const auto *Finished = Harness.last<FinishKey>();
  ASSERT_NE(Finished, nullptr);
  EXPECT_TRUE(std::holds_alternative<Response>(Finished->Answer_));
}
void disconnectThenGrant(GatewayHarness &Harness) {
  disconnect(Harness);
  grant(Harness);
}
void doNothing(GatewayHarness & /*Harness*/) {}

INSTANTIATE_TEST_SUITE_P(
    Paths, ClaimTest,
    testing::Values(
        ClaimCase{"ReadNeedsNoClaim",
                  Repeatable,
                  true,
                  ClaimEnd::Nothing,
                  {},
                  doNothing},
        ClaimCase{"Granted", AtMostOnce, true, ClaimEnd::Nothing, {}, grant},
        ClaimCase{"Denied", AtMostOnce, false, ClaimEnd::Nothing,
                  Outcome::Unknown, deny},
        ClaimCase{"CallerGone", AtMostOnce, false, ClaimEnd::Released,
                  Outcome::Unknown, disconnect},
        ClaimCase{"GrantAfterCallerGone",
                  AtMostOnce,
                  false,
                  ClaimEnd::Released,
                  {},
                  disconnectThenGrant},
        ClaimCase{"DeadlineWhileClaiming", AtMostOnce, false,
                  ClaimEnd::Released, Outcome::Unknown, passDeadline},
        ClaimCase{"GrantAfterDeadline", AtMostOnce, false, ClaimEnd::Released,
                  Outcome::NotRun, grantTooLate},
        ClaimCase{"AnswerIsKept",
                  AtMostOnce,
                  false,
                  ClaimEnd::Finished,
                  {},
                  grantAndEnd<AttemptResult::Answered>},
        ClaimCase{"LossIsKept", AtMostOnce, false, ClaimEnd::Finished,
                  Outcome::Unknown, grantAndEnd<AttemptResult::ConnectionLost>},
        ClaimCase{"AnswerAfterCallerGone",
                  AtMostOnce,
                  false,
                  ClaimEnd::Finished,
                  {},
                  disconnectThenAnswer}),
    CaseName());

struct ForwardCase {
  const char *Name_;
  Repeatability Repeatability_;
  Refusal Refusal_;
  bool IsForwardedAgain_;
  Outcome Outcome_;
};

class ForwardTest : public testing::TestWithParam<ForwardCase> {};

// Guards against running a request twice after the connection to its home was
// lost, and against refusing a request that another home could run.
TEST_P(ForwardTest, HandlesARefusalOfTheHome) {
  GatewayHarness Harness(makeProfile(GetParam().Repeatability_));
  Harness.handle(
      HomesChanged{ServiceName("s"), {MemberId("a"), MemberId("b")}});
  Harness.request("r");
  ASSERT_EQ(Harness.count<ForwardRequest>(), 1);
  EXPECT_EQ(Harness.count<SendAttempt>(), 0);
  Harness.handle(ForwardAnswered{RequestId("r"), GetParam().Refusal_});
  EXPECT_EQ(Harness.count<ForwardRequest>(),
            GetParam().IsForwardedAgain_ ? 1 : 0);
  if (GetParam().IsForwardedAgain_) {
    EXPECT_EQ(Harness.last<ForwardRequest>()->Home_, MemberId("b"));
    return;
  }
  ASSERT_NE(Harness.refusal(), nullptr);
  EXPECT_EQ(Harness.refusal()->Outcome_, GetParam().Outcome_);
}

INSTANTIATE_TEST_SUITE_P(
    Refusals, ForwardTest,
    testing::Values(
        ForwardCase{"LostOrder",
                    AtMostOnce,
                    {Outcome::Unknown, RefusalReason::HomeLost, {}, {}},
                    false,
                    Outcome::Unknown},
        ForwardCase{"UnreachedOrder",
                    AtMostOnce,
                    {Outcome::NotRun, RefusalReason::HomeLost, {}, {}},
                    true,
                    Outcome::NotRun},
        ForwardCase{"LostRead",
                    Repeatable,
                    {Outcome::Unknown, RefusalReason::HomeLost, {}, {}},
                    true,
                    Outcome::NotRun},
        ForwardCase{"DrainingHome",
                    AtMostOnce,
                    {Outcome::NotRun, RefusalReason::Draining, {}, {}},
                    true,
                    Outcome::NotRun},
        ForwardCase{"OverloadedHome",
                    AtMostOnce,
                    {Outcome::NotRun, RefusalReason::Overloaded, {}, {}},
                    false,
                    Outcome::NotRun}),
    CaseName());

// Guards against forwarding loops between gateways.
TEST(Gateway, DoesNotForwardAForwardedRequest) {
  GatewayHarness Harness(makeProfile(Repeatable));
  Harness.handle(HomesChanged{ServiceName("s"), {MemberId("a")}});
  Harness.request("r", false, true);
  EXPECT_EQ(Harness.count<ForwardRequest>(), 0);
  EXPECT_EQ(Harness.count<SendAttempt>(), 1);
}

// Guards against refusing requests while all homes are lost: the gateway that
// received the request then serves it itself.
TEST(Gateway, ServesRequestsWhenAllHomesAreLost) {
  GatewayHarness Harness(makeProfile(AtMostOnce));
  Harness.handle(
      HomesChanged{ServiceName("s"), {MemberId("a"), MemberId("b")}});
  Harness.request("r");
  for (int Home = 0; Home < 2; ++Home)
    Harness.handle(ForwardAnswered{
        RequestId("r"),
        Refusal{Outcome::NotRun, RefusalReason::HomeLost, {}, {}}});
  EXPECT_EQ(Harness.count<SendAttempt>(), 1);
}

// Guards against a queue full of low-weight requests that blocks heavier ones.
TEST(Gateway, EvictsLowerWeightsFromAFullQueue) {
  GatewaySettings Settings = GatewayHarness::defaultSettings();
  Settings.QueueCapacity_ = EventCount(1);
  GatewayHarness Harness(makeProfile(Repeatable), 1, SlotCount(1), Settings);
  Harness.request("running");
  Harness.request("light");
  Harness.handle(
      CatalogChanged{ConfigurationVersion(2),
                     {ServicePolicy{ServiceName("s"),
                                    makeProfile(AtMostOnce, false,
                                                Percentage(20), ClassWeight(9)),
                                    ConfigurationVersion(2)}}});
  Harness.request("heavy");
  ASSERT_NE(Harness.refusal(), nullptr);
  EXPECT_EQ(Harness.last<AnswerCaller>()->Id_, RequestId("light"));
  EXPECT_EQ(Harness.refusal()->Outcome_, Outcome::NotRun);
  Harness.request("second");
  ASSERT_NE(Harness.refusal(), nullptr);
  EXPECT_EQ(Harness.last<AnswerCaller>()->Id_, RequestId("second"));
  EXPECT_EQ(Harness.refusal()->Reason_, RefusalReason::QueueFull);
}

// Guards against dispatching requests of disconnected callers, and against a
// late response that is delivered to another request.
TEST(Gateway, CancelsRequestsOfDisconnectedCallers) {
  GatewayHarness Harness(makeProfile(Repeatable), 1, SlotCount(1));
  Harness.request("running");
  Harness.request("gone");
  Harness.request("next");
  Harness.handle(CallerDisconnected{RequestId("gone")});
  EXPECT_EQ(Harness.refusal()->Outcome_, Outcome::NotRun);
  Harness.handle(CallerDisconnected{RequestId("running")});
  EXPECT_EQ(Harness.count<CancelAttempt>(), 1);
  EXPECT_EQ(Harness.count<SendAttempt>(), 0) << "the slot is still in use";
  Harness.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(Harness.count<AnswerCaller>(), 0);
  ASSERT_EQ(Harness.count<SendAttempt>(), 1);
  EXPECT_EQ(Harness.last<SendAttempt>()->Request_->Id_, RequestId("next"));
}

// Guards against hedges that are never sent, and against a slower attempt that
// is not cancelled after the first response.
TEST(Gateway, HedgesSlowReadsAndCancelsTheLoser) {
  GatewayHarness Harness(makeProfile(Repeatable, true));
  std::uint64_t Attempt = 0;
  for (int Number = 0; Number < 40; ++Number) {
    Harness.request("r" + std::to_string(Number));
    Harness.finish(AttemptId(++Attempt), makeOutcome(AttemptResult::Answered));
  }
  Harness.request("slow");
  Harness.advanceTo(Harness.Now_ + 30ms);
  ASSERT_EQ(Harness.count<SendAttempt>(), 1);
  Harness.finish(AttemptId(Attempt + 2), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(Harness.count<AnswerCaller>(), 1);
  ASSERT_EQ(Harness.count<CancelAttempt>(), 1);
  EXPECT_EQ(Harness.last<CancelAttempt>()->Attempt_, AttemptId(Attempt + 1));
  Harness.finish(AttemptId(Attempt + 1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(Harness.count<AnswerCaller>(), 0);
}

// Guards against a drain that interrupts requests in progress or is complete
// before they are answered.
TEST(Gateway, FinishesRequestsInProgressWhenDraining) {
  GatewayHarness Harness(makeProfile(AtMostOnce), 1, SlotCount(1));
  Harness.request("first");
  Harness.request("waiting");
  Harness.handle(DrainStarted{});
  EXPECT_EQ(Harness.count<CancelAttempt>(), 0);
  Harness.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(Harness.count<SendAttempt>(), 1);
  EXPECT_FALSE(Harness.Gateway_.isDrained());
  Harness.finish(AttemptId(2), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(Harness.count<AnswerCaller>(), 1);
  EXPECT_TRUE(Harness.Gateway_.isDrained());
}

// Guards against a retry budget that permits a retry of every request.
TEST(Gateway, LimitsRetriesToTheBudget) {
  GatewayHarness Harness(makeProfile(Repeatable, false, Percentage(10)), 4,
                         SlotCount(50));
  std::uint64_t Sent = 0;
  std::uint64_t Ended = 0;
  constexpr std::uint64_t Requests = 200;
  for (std::uint64_t Number = 0; Number < Requests; ++Number) {
    Harness.request("r" + std::to_string(Number));
    Sent += Harness.count<SendAttempt>();
    while (Ended < Sent) {
      Harness.finish(AttemptId(++Ended),
                     makeOutcome(AttemptResult::Answered, StatusCode(500)));
      Sent += Harness.count<SendAttempt>();
    }
    Harness.advanceTo(Harness.Now_ + 200ms);
    Sent += Harness.count<SendAttempt>();
  }
  EXPECT_LE(Sent,
            Requests + Requests / 10 + RetryBudgetBounds{}.Reserve_.value());
  EXPECT_GT(Sent, Requests);
}

} // namespace
} // namespace jaybridge
