#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr auto Repeatable = Repeatability::Repeatable;
constexpr auto AtMostOnce = Repeatability::AtMostOnce;

struct AttemptEndCase {
  const char *Name_;
  Repeatability Repeat_;
  AttemptResult Result_;
  StatusCode Code_;
  bool IsRetried_;
  /// Of the refusal when there is no retry; none for the upstream's response.
  std::optional<Outcome> Outcome_;
};

class AttemptEndTest : public testing::TestWithParam<AttemptEndCase> {};

// Guards against retries of what may have run, and against refusals that claim
// more than the end of the attempt shows.
TEST_P(AttemptEndTest, RetriesOnlyWhatIsPermitted) {
  const AttemptEndCase &Case = GetParam();
  GatewayHarness World(makeProfile(Case.Repeat_));
  World.request("r");
  InstanceId First = World.last<SendAttempt>()->Instance_;
  World.finish(AttemptId(1), makeOutcome(Case.Result_, Case.Code_));
  EXPECT_EQ(World.count<SendAttempt>(), Case.IsRetried_ ? 1 : 0);
  EXPECT_EQ(World.count<AnswerCaller>(), Case.IsRetried_ ? 0 : 1);
  EXPECT_EQ(World.count<ObserveAttempt>(), 1);
  if (Case.IsRetried_) {
    EXPECT_NE(World.last<SendAttempt>()->Instance_, First);
    return;
  }
  ASSERT_EQ(World.refusal() != nullptr, Case.Outcome_.has_value());
  if (Case.Outcome_) {
    EXPECT_EQ(World.refusal()->Outcome_, *Case.Outcome_);
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

struct DoorCase {
  const char *Name_;
  bool HasKey_;
  void (*Prepare_)(GatewayHarness &);
  RefusalReason Reason_;
  Outcome Outcome_;
};

class DoorTest : public testing::TestWithParam<DoorCase> {};

// Guards against requests accepted that cannot be served, and against calling
// a keyed request not run while an earlier copy of it may have run.
TEST_P(DoorTest, RefusesTruthfully) {
  GatewayHarness World(makeProfile(AtMostOnce));
  GetParam().Prepare_(World);
  World.request("r", GetParam().HasKey_);
  if (World.last<ClaimKey>())
    World.handle(ClaimDecided{RequestId("r"), ClaimGranted{}});
  ASSERT_NE(World.refusal(), nullptr);
  EXPECT_EQ(World.refusal()->Reason_, GetParam().Reason_);
  EXPECT_EQ(World.refusal()->Outcome_, GetParam().Outcome_);
  EXPECT_EQ(World.count<SendAttempt>(), 0);
}

void removeService(GatewayHarness &World) {
  World.handle(CatalogChanged{ConfigurationVersion(2), {}});
}
void drainGateway(GatewayHarness &World) { World.handle(DrainStarted{}); }
template <InstanceState State> void changeAll(GatewayHarness &World) {
  for (const char *Id : {"i0", "i1"})
    World.handle(InstanceChanged{
        makeInstance(Id, "s", SlotCount(2), State, Incarnation(1))});
}
void quarantineRequest(GatewayHarness &World) {
  Request Bad;
  Bad.Service_ = ServiceName("s");
  Bad.Target_ = "/r";
  World.handle(FingerprintsQuarantined{{fingerprintOf(Bad)}});
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, DoorTest,
    testing::Values(DoorCase{"UnknownService", false, removeService,
                             RefusalReason::UnknownService, Outcome::NotRun},
                    DoorCase{"UnknownServiceWithKey", true, removeService,
                             RefusalReason::UnknownService, Outcome::Unknown},
                    DoorCase{"Drain", false, drainGateway,
                             RefusalReason::Draining, Outcome::NotRun},
                    DoorCase{"DrainWithKey", true, drainGateway,
                             RefusalReason::Draining, Outcome::Unknown},
                    DoorCase{"InstancesDrain", false,
                             changeAll<InstanceState::Draining>,
                             RefusalReason::NoInstance, Outcome::NotRun},
                    DoorCase{"InstancesLeft", false,
                             changeAll<InstanceState::Left>,
                             RefusalReason::NoInstance, Outcome::NotRun},
                    DoorCase{"InstancesLapsedWithGrantedKey", true,
                             changeAll<InstanceState::Lapsed>,
                             RefusalReason::NoInstance, Outcome::NotRun},
                    DoorCase{"CrashesUpstreams", false, quarantineRequest,
                             RefusalReason::CrashesUpstreams, Outcome::NotRun}),
    CaseName());

enum class Settled { Nothing, Released, Finished };

struct ClaimCase {
  const char *Name_;
  Repeatability Repeat_;
  bool IsDispatched_;
  Settled Settled_;
  std::optional<Outcome> Refused_;
  void (*Act_)(GatewayHarness &);
};

class ClaimTest : public testing::TestWithParam<ClaimCase> {};

// Guards against a keyed request that is dispatched without its claim, and
// against claims that are left open or settled wrongly.
TEST_P(ClaimTest, DispatchesOnlyAfterTheGrant) {
  const ClaimCase &Case = GetParam();
  GatewayHarness World(makeProfile(Case.Repeat_));
  World.request("r", true);
  EXPECT_EQ(World.count<ClaimKey>(), Case.Repeat_ == AtMostOnce ? 1 : 0);
  EXPECT_EQ(World.count<SendAttempt>(), Case.Repeat_ == AtMostOnce ? 0 : 1);
  Case.Act_(World);
  if (Case.Repeat_ == AtMostOnce) {
    EXPECT_EQ(World.count<SendAttempt>(), Case.IsDispatched_ ? 1 : 0);
  }
  EXPECT_EQ(World.count<ReleaseKey>(), Case.Settled_ == Settled::Released);
  EXPECT_EQ(World.count<FinishKey>(), Case.Settled_ == Settled::Finished);
  ASSERT_EQ(World.refusal() != nullptr, Case.Refused_.has_value());
  if (Case.Refused_) {
    EXPECT_EQ(World.refusal()->Outcome_, *Case.Refused_);
  }
}

void grant(GatewayHarness &World) {
  World.handle(ClaimDecided{RequestId("r"), ClaimGranted{}});
}
void deny(GatewayHarness &World) {
  World.handle(ClaimDecided{
      RequestId("r"),
      Answer(Refusal{Outcome::Unknown, RefusalReason::InProgress, {}, {}})});
}
void leave(GatewayHarness &World) { World.handle(CallerGone{RequestId("r")}); }
void passDeadline(GatewayHarness &World) { World.advanceTo(World.Now_ + 1s); }
/// The process is frozen: the grant is handled before any timer runs.
void grantTooLate(GatewayHarness &World) {
  World.Now_ += 2s;
  World.Out_.clear();
  World.Role_.handle(ClaimDecided{RequestId("r"), ClaimGranted{}}, World.Now_,
                     World.Out_);
}
template <AttemptResult Result> void grantAndEnd(GatewayHarness &World) {
  grant(World);
  World.finish(AttemptId(1), makeOutcome(Result));
}
void leaveThenAnswer(GatewayHarness &World) {
  grant(World);
  leave(World);
  EXPECT_EQ(World.count<FinishKey>(), 0);
  EXPECT_EQ(World.count<CancelAttempt>(), 1);
  World.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  const auto *Kept = World.last<FinishKey>();
  ASSERT_NE(Kept, nullptr);
  EXPECT_TRUE(std::holds_alternative<Response>(Kept->Answer_));
}
void leaveThenGrant(GatewayHarness &World) {
  leave(World);
  grant(World);
}
void nothing(GatewayHarness & /*World*/) {}

INSTANTIATE_TEST_SUITE_P(
    Paths, ClaimTest,
    testing::Values(
        ClaimCase{"ReadNeedsNoClaim",
                  Repeatable,
                  true,
                  Settled::Nothing,
                  {},
                  nothing},
        ClaimCase{"Granted", AtMostOnce, true, Settled::Nothing, {}, grant},
        ClaimCase{"Denied", AtMostOnce, false, Settled::Nothing,
                  Outcome::Unknown, deny},
        ClaimCase{"CallerGone", AtMostOnce, false, Settled::Released,
                  Outcome::Unknown, leave},
        ClaimCase{"GrantAfterCallerGone",
                  AtMostOnce,
                  false,
                  Settled::Released,
                  {},
                  leaveThenGrant},
        ClaimCase{"DeadlineWhileClaiming", AtMostOnce, false, Settled::Released,
                  Outcome::Unknown, passDeadline},
        ClaimCase{"GrantAfterDeadline", AtMostOnce, false, Settled::Released,
                  Outcome::NotRun, grantTooLate},
        ClaimCase{"AnswerIsKept",
                  AtMostOnce,
                  false,
                  Settled::Finished,
                  {},
                  grantAndEnd<AttemptResult::Answered>},
        ClaimCase{"LossIsKept", AtMostOnce, false, Settled::Finished,
                  Outcome::Unknown, grantAndEnd<AttemptResult::ConnectionLost>},
        ClaimCase{"AnswerAfterCallerGone",
                  AtMostOnce,
                  false,
                  Settled::Finished,
                  {},
                  leaveThenAnswer}),
    CaseName());

struct ForwardCase {
  const char *Name_;
  Repeatability Repeat_;
  Refusal Home_;
  bool IsForwardedAgain_;
  Outcome Outcome_;
};

class ForwardTest : public testing::TestWithParam<ForwardCase> {};

// Guards against a second run after a home was lost with the request.
TEST_P(ForwardTest, FollowsTheHomesWord) {
  GatewayHarness World(makeProfile(GetParam().Repeat_));
  World.handle(HomesChanged{ServiceName("s"), {MemberId("a"), MemberId("b")}});
  World.request("r");
  ASSERT_EQ(World.count<ForwardRequest>(), 1);
  EXPECT_EQ(World.count<SendAttempt>(), 0);
  World.handle(ForwardAnswered{RequestId("r"), GetParam().Home_});
  EXPECT_EQ(World.count<ForwardRequest>(),
            GetParam().IsForwardedAgain_ ? 1 : 0);
  if (GetParam().IsForwardedAgain_) {
    EXPECT_EQ(World.last<ForwardRequest>()->Home_, MemberId("b"));
    return;
  }
  ASSERT_NE(World.refusal(), nullptr);
  EXPECT_EQ(World.refusal()->Outcome_, GetParam().Outcome_);
}

INSTANTIATE_TEST_SUITE_P(
    Words, ForwardTest,
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

// Guards against requests that wander from gateway to gateway.
TEST(Gateway, ServesForwardedRequestsItself) {
  GatewayHarness World(makeProfile(Repeatable));
  World.handle(HomesChanged{ServiceName("s"), {MemberId("a")}});
  World.request("r", false, true);
  EXPECT_EQ(World.count<ForwardRequest>(), 0);
  EXPECT_EQ(World.count<SendAttempt>(), 1);
}

// Guards against requests lost with their homes: the entry gateway serves them.
TEST(Gateway, ServesRequestsItselfWhenNoHomeIsReached) {
  GatewayHarness World(makeProfile(AtMostOnce));
  World.handle(HomesChanged{ServiceName("s"), {MemberId("a"), MemberId("b")}});
  World.request("r");
  for (int Home = 0; Home < 2; ++Home)
    World.handle(ForwardAnswered{
        RequestId("r"),
        Refusal{Outcome::NotRun, RefusalReason::HomeLost, {}, {}}});
  EXPECT_EQ(World.count<SendAttempt>(), 1);
}

// Guards against a full queue of unimportant work that keeps out the rest.
TEST(Gateway, ShedsLowerWeightsFirst) {
  GatewaySettings Settings = GatewayHarness::defaultSettings();
  Settings.QueueCapacity_ = EventCount(1);
  GatewayHarness World(makeProfile(Repeatable), 1, SlotCount(1), Settings);
  World.request("running");
  World.request("light");
  World.handle(
      CatalogChanged{ConfigurationVersion(2),
                     {ServicePolicy{ServiceName("s"),
                                    makeProfile(AtMostOnce, false,
                                                Percentage(20), ClassWeight(9)),
                                    ConfigurationVersion(2)}}});
  World.request("heavy");
  ASSERT_NE(World.refusal(), nullptr);
  EXPECT_EQ(World.last<AnswerCaller>()->Id_, RequestId("light"));
  EXPECT_EQ(World.refusal()->Outcome_, Outcome::NotRun);
  World.request("second");
  ASSERT_NE(World.refusal(), nullptr);
  EXPECT_EQ(World.last<AnswerCaller>()->Id_, RequestId("second"));
  EXPECT_EQ(World.refusal()->Reason_, RefusalReason::QueueFull);
}

// Guards against work sent for nobody, and against a late answer that reaches
// another request.
TEST(Gateway, DropsWaitingRequestsOfCallersThatLeft) {
  GatewayHarness World(makeProfile(Repeatable), 1, SlotCount(1));
  World.request("running");
  World.request("gone");
  World.request("next");
  World.handle(CallerGone{RequestId("gone")});
  EXPECT_EQ(World.refusal()->Outcome_, Outcome::NotRun);
  World.handle(CallerGone{RequestId("running")});
  EXPECT_EQ(World.count<CancelAttempt>(), 1);
  EXPECT_EQ(World.count<SendAttempt>(), 0) << "the slot is still in use";
  World.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(World.count<AnswerCaller>(), 0);
  ASSERT_EQ(World.count<SendAttempt>(), 1);
  EXPECT_EQ(World.last<SendAttempt>()->Request_->Id_, RequestId("next"));
}

// Guards against hedges that are never sent, and losers left running.
TEST(Gateway, HedgesSlowReadsAndCancelsTheLoser) {
  GatewayHarness World(makeProfile(Repeatable, true));
  std::uint64_t Attempt = 0;
  for (int Number = 0; Number < 40; ++Number) {
    World.request("r" + std::to_string(Number));
    World.finish(AttemptId(++Attempt), makeOutcome(AttemptResult::Answered));
  }
  World.request("slow");
  World.advanceTo(World.Now_ + 30ms);
  ASSERT_EQ(World.count<SendAttempt>(), 1);
  World.finish(AttemptId(Attempt + 2), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(World.count<AnswerCaller>(), 1);
  ASSERT_EQ(World.count<CancelAttempt>(), 1);
  EXPECT_EQ(World.last<CancelAttempt>()->Attempt_, AttemptId(Attempt + 1));
  World.finish(AttemptId(Attempt + 1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(World.count<AnswerCaller>(), 0);
}

// Guards against a drain that interrupts requests or accepts new ones.
TEST(Gateway, FinishesRequestsInProgressWhenDraining) {
  GatewayHarness World(makeProfile(AtMostOnce), 1, SlotCount(1));
  World.request("first");
  World.request("waiting");
  World.handle(DrainStarted{});
  EXPECT_EQ(World.count<CancelAttempt>(), 0);
  World.finish(AttemptId(1), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(World.count<SendAttempt>(), 1);
  EXPECT_FALSE(World.Role_.isDrained());
  World.finish(AttemptId(2), makeOutcome(AttemptResult::Answered));
  EXPECT_EQ(World.count<AnswerCaller>(), 1);
  EXPECT_TRUE(World.Role_.isDrained());
}

// Guards against a retry budget that lets every request be sent twice.
TEST(Gateway, BoundsRetriesByTheBudget) {
  GatewayHarness World(makeProfile(Repeatable, false, Percentage(10)), 4,
                       SlotCount(50));
  std::uint64_t Sent = 0;
  std::uint64_t Ended = 0;
  constexpr std::uint64_t Requests = 200;
  for (std::uint64_t Number = 0; Number < Requests; ++Number) {
    World.request("r" + std::to_string(Number));
    Sent += World.count<SendAttempt>();
    while (Ended < Sent) {
      World.finish(AttemptId(++Ended),
                   makeOutcome(AttemptResult::Answered, StatusCode(500)));
      Sent += World.count<SendAttempt>();
    }
    World.advanceTo(World.Now_ + 200ms);
    Sent += World.count<SendAttempt>();
  }
  EXPECT_LE(Sent,
            Requests + Requests / 10 + RetryBudgetBounds{}.Reserve_.value());
  EXPECT_GT(Sent, Requests);
}

} // namespace
} // namespace jaybridge
