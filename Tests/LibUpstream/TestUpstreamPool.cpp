#include <LibRouting/PowerOfTwoChoices.h>
#include <LibUpstream/UpstreamPool.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

InstanceRecord makeRecord(int Number, SlotCount Slots,
                          InstanceState State = InstanceState::Serving,
                          const char *Domain = "here") {
  return InstanceRecord{InstanceId("i" + std::to_string(Number)),
                        ServiceName("s"),
                        Endpoint(),
                        FailureDomain(Domain),
                        Slots,
                        State,
                        Incarnation(1)};
}

AttemptOutcome makeOutcome(AttemptResult Result, Duration Elapsed = 10ms,
                           StatusCode Code = StatusCode(200)) {
  AttemptOutcome Attempt;
  Attempt.Result_ = Result;
  Attempt.Elapsed_ = Elapsed;
  if (Result == AttemptResult::Answered)
    Attempt.Response_.Status_ = Code;
  return Attempt;
}

/// Pool of four instances with four slots each.
class UpstreamPoolTest : public testing::Test {
protected:
  UpstreamPoolTest() {
    for (int Number = 0; Number < 4; ++Number)
      Pool_.apply(makeRecord(Number, SlotCount(4)), Now_);
  }

  /// Number of 400 selections that choose the instance; no request stays in
  /// flight.
  int countChosen(const InstanceId &Target) {
    int Chosen = 0;
    for (int Number = 0; Number < 400; ++Number) {
      std::optional<InstanceId> Id =
          Pool_.select(Policy_, SelectionRequest{}, Now_);
      Chosen += Id == Target ? 1 : 0;
    }
    return Chosen;
  }
  void send(const InstanceId &Id, const AttemptOutcome &Attempt) {
    Pool_.begin(Id, Now_);
    Pool_.finish(Id, Attempt, Now_);
  }
  void advance(Duration Step) {
    Now_ += Step;
    Pool_.advance(Now_);
  }

  UpstreamPool Pool_{FailureDomain("here")};
  PowerOfTwoChoices Policy_{RandomSeed(7)};
  TimePoint Now_{};
  const InstanceId Faulty_{"i1"};
};

struct StateCase {
  const char *Name_;
  InstanceState State_;
};

class UnavailableStateTest : public UpstreamPoolTest,
                             public testing::WithParamInterface<StateCase> {};

// Guards against new requests to an instance that is draining or gone, and
// against an older record that makes it serve again.
TEST_P(UnavailableStateTest, ReceivesNoNewRequests) {
  Pool_.apply(makeRecord(1, SlotCount(4), GetParam().State_), Now_);
  Pool_.apply(makeRecord(1, SlotCount(4)), Now_);
  EXPECT_EQ(countChosen(Faulty_), 0);
}

INSTANTIATE_TEST_SUITE_P(
    States, UnavailableStateTest,
    testing::Values(StateCase{"Draining", InstanceState::Draining},
                    StateCase{"Left", InstanceState::Left},
                    StateCase{"Lapsed", InstanceState::Lapsed}),
    CaseName());

struct FaultCase {
  const char *Name_;
  AttemptOutcome Outcome_;
  int Repetitions_;
  /// Limit on the selections of the instance out of 400; an even share is 100.
  int MaxChosen_;
};

class FaultTest : public UpstreamPoolTest,
                  public testing::WithParamInterface<FaultCase> {};

// Guards against sending requests to an instance that fails or is slow now, and
// against never trying it again.
TEST_P(FaultTest, LosesTrafficAtOnceAndRegainsIt) {
  for (int Number : {0, 2, 3})
    for (int Times = 0; Times < 10; ++Times)
      send(InstanceId("i" + std::to_string(Number)),
           makeOutcome(AttemptResult::Answered));
  for (int Times = 0; Times < GetParam().Repetitions_; ++Times)
    send(Faulty_, GetParam().Outcome_);
  EXPECT_LE(countChosen(Faulty_), GetParam().MaxChosen_);
  advance(30s);
  EXPECT_GT(countChosen(Faulty_), 20);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultTest,
    testing::Values(
        FaultCase{"OneError",
                  makeOutcome(AttemptResult::Answered, 1ms, StatusCode(500)), 1,
                  10},
        FaultCase{"RefusedConnection",
                  makeOutcome(AttemptResult::ConnectFailed), 1, 0},
        FaultCase{"TwoLostConnections",
                  makeOutcome(AttemptResult::ConnectionLost), 2, 0},
        FaultCase{"Shed", makeOutcome(AttemptResult::RefusedNotRun), 1, 0},
        FaultCase{"ThreeTimesSlower",
                  makeOutcome(AttemptResult::Answered, 30ms), 6, 10}),
    CaseName());

// Guards against backing off from too many instances when the whole pool fails.
TEST_F(UpstreamPoolTest, BacksOffWithinTheFloor) {
  Pool_.setFloor(Percentage(70));
  for (int Number = 0; Number < 4; ++Number)
    for (int Times = 0; Times < 3; ++Times)
      send(InstanceId("i" + std::to_string(Number)),
           makeOutcome(AttemptResult::ConnectionLost));
  int Available = 0;
  for (int Number = 0; Number < 4; ++Number)
    Available +=
        Pool_.find(InstanceId("i" + std::to_string(Number)))->isAvailable(Now_)
            ? 1
            : 0;
  EXPECT_EQ(Available, 3);
}

// Guards against ejections that outlive the validity of their list, and against
// a list that ejects more instances than the floor permits.
TEST_F(UpstreamPoolTest, EjectsWithinTheFloorUntilTheListExpires) {
  Pool_.setFloor(Percentage(70));
  Pool_.setEjections({Faulty_, InstanceId("i2")}, Now_ + 2s, Now_);
  EXPECT_EQ(countChosen(Faulty_), 0);
  EXPECT_GT(countChosen(InstanceId("i2")), 20);
  EXPECT_EQ(Pool_.nextDeadline(), Now_ + 2s);
  advance(2s);
  EXPECT_EQ(Pool_.find(Faulty_)->limit(Now_), SlotCount(1))
      << "the limit must rise gradually after an ejection";
  advance(UpstreamInstance::WarmUpDuration);
  EXPECT_EQ(Pool_.find(Faulty_)->limit(Now_), SlotCount(4));
}

// Guards against full load on an instance that has just started, and against
// treating all instances as cold when the gateway itself has just started.
TEST_F(UpstreamPoolTest, WarmsUpInstancesThatJoinLater) {
  EXPECT_EQ(Pool_.find(Faulty_)->limit(Now_), SlotCount(4));
  advance(UpstreamPool::StartupGracePeriod + 1s);
  Pool_.apply(makeRecord(9, SlotCount(4)), Now_);
  const InstanceId Cold("i9");
  EXPECT_EQ(Pool_.find(Cold)->limit(Now_), SlotCount(1));
  for (int Number = 0; Number < 4; ++Number)
    for (int Times = 0; Times < 4; ++Times)
      Pool_.begin(InstanceId("i" + std::to_string(Number)), Now_);
  EXPECT_EQ(countChosen(Cold), 400);
  Pool_.begin(Cold, Now_);
  EXPECT_FALSE(Pool_.find(Cold)->isAvailable(Now_));
  advance(UpstreamInstance::WarmUpDuration / 2);
  EXPECT_EQ(Pool_.find(Cold)->limit(Now_), SlotCount(2));
  EXPECT_EQ(countChosen(Cold), 400) << "the pool must use the raised limit";
}

// Guards against concurrency limits that do not fall on sheds, or never
// recover.
TEST_F(UpstreamPoolTest, LowersLimitOnShedsAndRecovers) {
  for (int Times = 0; Times < 20; ++Times)
    send(Faulty_, makeOutcome(AttemptResult::RefusedNotRun));
  EXPECT_EQ(Pool_.find(Faulty_)->limit(Now_), SlotCount(1));
  for (int Times = 0; Times < 100; ++Times) {
    while (Pool_.find(Faulty_)->inUse() < Pool_.find(Faulty_)->limit(Now_))
      Pool_.begin(Faulty_, Now_);
    Pool_.finish(Faulty_, makeOutcome(AttemptResult::Answered), Now_);
  }
  EXPECT_EQ(Pool_.find(Faulty_)->limit(Now_), SlotCount(4));
}

// Guards against load reports that keep their weight for ever.
TEST_F(UpstreamPoolTest, IgnoresExpiredLoadReports) {
  Pool_.updateReportedLoad(Faulty_, SlotCount(4), Now_);
  EXPECT_LT(countChosen(Faulty_), 10);
  advance(UpstreamInstance::MaxLoadReportLifetime);
  EXPECT_GT(countChosen(Faulty_), 20);
}

// Guards against traffic to other failure domains while the local one has
// capacity.
TEST_F(UpstreamPoolTest, PrefersLocalFailureDomain) {
  for (int Number = 10; Number < 14; ++Number)
    Pool_.apply(
        makeRecord(Number, SlotCount(4), InstanceState::Serving, "there"),
        Now_);
  int Remote = 0;
  for (int Number = 10; Number < 14; ++Number)
    Remote += countChosen(InstanceId("i" + std::to_string(Number)));
  EXPECT_EQ(Remote, 0);
}

struct SpilloverCase {
  const char *Name_;
  /// Requests in flight from this gateway to each local instance.
  std::vector<int> InFlight_;
  /// Bounds on the selections out of 400 that choose a remote instance.
  int MinRemote_;
  int MaxRemote_;
};

class SpilloverTest : public UpstreamPoolTest,
                      public testing::WithParamInterface<SpilloverCase> {};

// Guards against requests to a remote domain while a local instance has free
// slots, and against keeping requests in a full local domain. The second
// candidate was once drawn from all domains: with one busy instance of four,
// one in seven requests left the domain.
TEST_P(SpilloverTest, SpillsOverWhenLocalDomainIsHalfFull) {
  for (int Number = 10; Number < 14; ++Number)
    Pool_.apply(
        makeRecord(Number, SlotCount(4), InstanceState::Serving, "there"),
        Now_);
  for (std::size_t Number = 0; Number < GetParam().InFlight_.size(); ++Number)
    for (int Count = 0; Count < GetParam().InFlight_[Number]; ++Count)
      Pool_.begin(InstanceId("i" + std::to_string(Number)), Now_);
  int Remote = 0;
  for (int Number = 10; Number < 14; ++Number)
    Remote += countChosen(InstanceId("i" + std::to_string(Number)));
  EXPECT_GE(Remote, GetParam().MinRemote_);
  EXPECT_LE(Remote, GetParam().MaxRemote_);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, SpilloverTest,
    testing::Values(SpilloverCase{"OneIsBusy", {3, 0, 0, 0}, 0, 25},
                    SpilloverCase{"EachHasAFewRequests", {1, 1, 1, 1}, 0, 0},
                    SpilloverCase{"AllAreNearlyFull", {3, 3, 3, 3}, 150, 400}),
    CaseName());

} // namespace
} // namespace jaybridge
