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

AttemptOutcome makeEnd(AttemptResult Result, Duration Elapsed = 10ms,
                       StatusCode Code = StatusCode(200)) {
  AttemptOutcome Ended;
  Ended.Result_ = Result;
  Ended.Elapsed_ = Elapsed;
  if (Result == AttemptResult::Answered)
    Ended.Response_.Status_ = Code;
  return Ended;
}

/// A pool of four instances with four slots each.
class UpstreamPoolTest : public testing::Test {
protected:
  UpstreamPoolTest() {
    for (int Number = 0; Number < 4; ++Number)
      Pool_.apply(makeRecord(Number, SlotCount(4)), Now_);
  }

  /// How many of 400 requests go to the instance, each ending at once.
  int countChosen(const InstanceId &Wanted) {
    int Chosen = 0;
    for (int Number = 0; Number < 400; ++Number) {
      std::optional<InstanceId> Id =
          Pool_.select(Chooser_, SelectionRequest{}, Now_);
      Chosen += Id == Wanted ? 1 : 0;
    }
    return Chosen;
  }
  void send(const InstanceId &Id, const AttemptOutcome &Ended) {
    Pool_.begin(Id, Now_);
    Pool_.finish(Id, Ended, Now_);
  }
  void advance(Duration Step) {
    Now_ += Step;
    Pool_.advance(Now_);
  }

  UpstreamPool Pool_{FailureDomain("here")};
  PowerOfTwoChoices Chooser_{RandomSeed(7)};
  TimePoint Now_{};
  const InstanceId Bad_{"i1"};
};

struct AbsenceCase {
  const char *Name_;
  InstanceState State_;
};

class AbsenceTest : public UpstreamPoolTest,
                    public testing::WithParamInterface<AbsenceCase> {};

// Guards against new work for an instance that is leaving or gone, and against
// an older record that brings it back.
TEST_P(AbsenceTest, GetsNothingNew) {
  Pool_.apply(makeRecord(1, SlotCount(4), GetParam().State_), Now_);
  Pool_.apply(makeRecord(1, SlotCount(4)), Now_);
  EXPECT_EQ(countChosen(Bad_), 0);
}

INSTANTIATE_TEST_SUITE_P(
    States, AbsenceTest,
    testing::Values(AbsenceCase{"Draining", InstanceState::Draining},
                    AbsenceCase{"Left", InstanceState::Left},
                    AbsenceCase{"Lapsed", InstanceState::Lapsed}),
    CaseName());

struct FaultCase {
  const char *Name_;
  AttemptOutcome Ended_;
  int Times_;
  /// Of 400 choices; 100 would be a fair share.
  int GreatestChosen_;
};

class FaultTest : public UpstreamPoolTest,
                  public testing::WithParamInterface<FaultCase> {};

// Guards against load on an instance that is failing or slow right now, and
// against never trying it again.
TEST_P(FaultTest, IsAvoidedAtOnceAndTriedAgain) {
  for (int Number : {0, 2, 3})
    for (int Times = 0; Times < 10; ++Times)
      send(InstanceId("i" + std::to_string(Number)),
           makeEnd(AttemptResult::Answered));
  for (int Times = 0; Times < GetParam().Times_; ++Times)
    send(Bad_, GetParam().Ended_);
  EXPECT_LE(countChosen(Bad_), GetParam().GreatestChosen_);
  advance(30s);
  EXPECT_GT(countChosen(Bad_), 20);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultTest,
    testing::Values(
        FaultCase{"OneError",
                  makeEnd(AttemptResult::Answered, 1ms, StatusCode(500)), 1,
                  10},
        FaultCase{"RefusedConnection", makeEnd(AttemptResult::ConnectFailed), 1,
                  0},
        FaultCase{"TwoLostConnections", makeEnd(AttemptResult::ConnectionLost),
                  2, 0},
        FaultCase{"Shed", makeEnd(AttemptResult::RefusedNotRun), 1, 0},
        FaultCase{"ThreeTimesSlower", makeEnd(AttemptResult::Answered, 30ms), 6,
                  10}),
    CaseName());

// Guards against avoidance of healthy capacity when the whole pool fails.
TEST_F(UpstreamPoolTest, AvoidsNoMoreThanTheFloorPermits) {
  Pool_.setFloor(Percentage(70));
  for (int Number = 0; Number < 4; ++Number)
    for (int Times = 0; Times < 3; ++Times)
      send(InstanceId("i" + std::to_string(Number)),
           makeEnd(AttemptResult::ConnectionLost));
  int Available = 0;
  for (int Number = 0; Number < 4; ++Number)
    Available +=
        Pool_.find(InstanceId("i" + std::to_string(Number)))->isAvailable(Now_)
            ? 1
            : 0;
  EXPECT_EQ(Available, 3);
}

// Guards against a list of ejections that outlives its validity or breaks the
// floor.
TEST_F(UpstreamPoolTest, EjectsWithinTheFloorUntilTheListExpires) {
  Pool_.setFloor(Percentage(70));
  Pool_.setEjections({Bad_, InstanceId("i2")}, Now_ + 2s, Now_);
  EXPECT_EQ(countChosen(Bad_), 0);
  EXPECT_GT(countChosen(InstanceId("i2")), 20);
  EXPECT_EQ(Pool_.nextDeadline(), Now_ + 2s);
  advance(2s);
  EXPECT_EQ(Pool_.find(Bad_)->limit(Now_), SlotCount(1)) << "not gradual";
  advance(UpstreamInstance::WarmUpTime);
  EXPECT_EQ(Pool_.find(Bad_)->limit(Now_), SlotCount(4));
}

// Guards against full load on an instance that has just started, and against
// a gateway that starts with all of its instances cold.
TEST_F(UpstreamPoolTest, WarmsUpInstancesThatJoinLater) {
  EXPECT_EQ(Pool_.find(Bad_)->limit(Now_), SlotCount(4));
  advance(UpstreamPool::FormationTime + 1s);
  Pool_.apply(makeRecord(9, SlotCount(4)), Now_);
  const InstanceId Cold("i9");
  EXPECT_EQ(Pool_.find(Cold)->limit(Now_), SlotCount(1));
  for (int Number = 0; Number < 4; ++Number)
    for (int Times = 0; Times < 4; ++Times)
      Pool_.begin(InstanceId("i" + std::to_string(Number)), Now_);
  EXPECT_EQ(countChosen(Cold), 400);
  Pool_.begin(Cold, Now_);
  EXPECT_FALSE(Pool_.find(Cold)->isAvailable(Now_));
  advance(UpstreamInstance::WarmUpTime / 2);
  EXPECT_EQ(Pool_.find(Cold)->limit(Now_), SlotCount(2));
  EXPECT_EQ(countChosen(Cold), 400) << "the pool did not notice the new limit";
}

// Guards against limits that never adapt, or never recover.
TEST_F(UpstreamPoolTest, AdaptsTheLimitToShedsAndBack) {
  for (int Times = 0; Times < 20; ++Times)
    send(Bad_, makeEnd(AttemptResult::RefusedNotRun));
  EXPECT_EQ(Pool_.find(Bad_)->limit(Now_), SlotCount(1));
  for (int Times = 0; Times < 100; ++Times) {
    while (Pool_.find(Bad_)->inUse() < Pool_.find(Bad_)->limit(Now_))
      Pool_.begin(Bad_, Now_);
    Pool_.finish(Bad_, makeEnd(AttemptResult::Answered), Now_);
  }
  EXPECT_EQ(Pool_.find(Bad_)->limit(Now_), SlotCount(4));
}

// Guards against a statement about load that is believed for ever.
TEST_F(UpstreamPoolTest, TakesReportedLoadAsAHintThatAges) {
  Pool_.updateReportedLoad(Bad_, SlotCount(4), Now_);
  EXPECT_LT(countChosen(Bad_), 10);
  advance(UpstreamInstance::LoadHintLifetime);
  EXPECT_GT(countChosen(Bad_), 20);
}

// Guards against traffic between failure domains without need.
TEST_F(UpstreamPoolTest, PrefersTheOwnFailureDomain) {
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
  /// Requests that the gateway has at each instance of its own domain.
  std::vector<int> InUse_;
  /// Bounds of the requests of 400 that leave the domain.
  int LeastRemote_;
  int MostRemote_;
};

class SpilloverTest : public UpstreamPoolTest,
                      public testing::WithParamInterface<SpilloverCase> {};

// Guards against requests that cross domains while one beside them has room,
// and against a domain that keeps what it cannot serve soon. The second
// candidate used to come from anywhere: with one busy instance of four, one in
// seven requests left the domain.
TEST_P(SpilloverTest, LeavesTheDomainOnceItIsHalfFull) {
  for (int Number = 10; Number < 14; ++Number)
    Pool_.apply(
        makeRecord(Number, SlotCount(4), InstanceState::Serving, "there"),
        Now_);
  for (std::size_t Number = 0; Number < GetParam().InUse_.size(); ++Number)
    for (int Count = 0; Count < GetParam().InUse_[Number]; ++Count)
      Pool_.begin(InstanceId("i" + std::to_string(Number)), Now_);
  int Remote = 0;
  for (int Number = 10; Number < 14; ++Number)
    Remote += countChosen(InstanceId("i" + std::to_string(Number)));
  EXPECT_GE(Remote, GetParam().LeastRemote_);
  EXPECT_LE(Remote, GetParam().MostRemote_);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, SpilloverTest,
    testing::Values(SpilloverCase{"OneIsBusy", {3, 0, 0, 0}, 0, 25},
                    SpilloverCase{"EachHasAFewRequests", {1, 1, 1, 1}, 0, 0},
                    SpilloverCase{"AllAreNearlyFull", {3, 3, 3, 3}, 150, 400}),
    CaseName());

} // namespace
} // namespace jaybridge
