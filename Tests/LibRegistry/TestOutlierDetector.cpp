#include <LibRegistry/OutlierDetector.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

enum class Seen { Lost, Error, Unreachable, Success };

AttemptCounts tally(const std::string &Id, Seen What) {
  AttemptCounts One;
  One.Id_ = InstanceId(Id);
  switch (What) {
  case Seen::Lost:
    One.Lost_ = EventCount(1);
    break;
  case Seen::Error:
    One.Errors_ = EventCount(1);
    break;
  case Seen::Unreachable:
    One.Unreachable_ = EventCount(1);
    break;
  case Seen::Success:
    One.Successes_ = EventCount(1);
    break;
  }
  return One;
}

ServiceRegistry poolOf(std::size_t Count) {
  ServiceRegistry Registry;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Registry.apply(StoreInstance{InstanceRecord{
        InstanceId("i" + std::to_string(Index)), ServiceName("s"),
        Endpoint::create("10.0.0." + std::to_string(Index + 1) + ":80")
            .takeValue(),
        FailureDomain("d"), SlotCount(4), InstanceState::Serving,
        Incarnation(1)}});
  return Registry;
}

/// The instances from the index on serve well.
void serveWell(OutlierDetector &Board, std::size_t From, std::size_t To,
               TimePoint Now) {
  AttemptCounts Served;
  Served.Successes_ = EventCount(20);
  for (; From < To; ++From) {
    Served.Id_ = InstanceId("i" + std::to_string(From));
    Board.record(Served, Now);
  }
}

struct EvidenceCase {
  const char *Name_;
  std::vector<Seen> Outcomes_;
  bool IsSuspect_;
};

class EvidenceTest : public testing::TestWithParam<EvidenceCase> {};

// Guards against gray failures that stay in use at two requests a second, and
// against healthy instances that are suspected for chance errors.
TEST_P(EvidenceTest, WeighsFailuresAgainstSuccesses) {
  OutlierDetector Board;
  TimePoint Now{};
  for (Seen Each : GetParam().Outcomes_) {
    Now += 100ms;
    Board.record(tally("i0", Each), Now);
  }
  EXPECT_EQ(Board.isSuspect(InstanceId("i0"), Now), GetParam().IsSuspect_);
}

constexpr auto Lost = Seen::Lost;
constexpr auto Good = Seen::Success;

INSTANTIATE_TEST_SUITE_P(
    Outcomes, EvidenceTest,
    testing::Values(
        EvidenceCase{"Nothing", {}, false},
        EvidenceCase{"OneLostOfFew", {Good, Lost}, true},
        EvidenceCase{"OneLostOfMany",
                     {Good, Good, Good, Good, Good, Good, Good, Good, Good,
                      Good, Good, Good, Good, Good, Good, Lost},
                     false},
        EvidenceCase{"TwoLostOfMany",
                     {Good, Good, Good, Good, Good, Good, Good, Good, Good,
                      Good, Good, Lost, Lost},
                     true},
        EvidenceCase{"TwoErrorsOfMany",
                     {Good, Good, Good, Good, Good, Good, Good, Good, Good,
                      Good, Good, Good, Good, Good, Good, Good, Seen::Error,
                      Seen::Error},
                     false},
        EvidenceCase{"OneOfTenGatewaysWithoutAPath",
                     {Good, Good, Good, Good, Good, Good, Good, Good, Good,
                      Seen::Unreachable, Seen::Unreachable, Seen::Unreachable},
                     false},
        EvidenceCase{"OneError", {Seen::Error}, false},
        EvidenceCase{"OneGatewayWithoutAPath", {Seen::Unreachable}, false},
        EvidenceCase{"NoGatewayHasAPath",
                     {Seen::Unreachable, Seen::Unreachable, Seen::Unreachable},
                     true}),
    CaseName());

// Guards against a caller's request lost each second to an instance that keeps
// failing, and against a recovered one that stays out.
TEST(HealthBoardTest, DoublesTheHoldWithEachFailedTrial) {
  OutlierDetector Board;
  const InstanceId Id("i0");
  TimePoint Now{};
  Board.record(tally("i0", Lost), Now);
  Now += OutlierDetector::FirstHold;
  EXPECT_FALSE(Board.isSuspect(Id, Now));
  Board.record(tally("i0", Lost), Now);
  EXPECT_TRUE(Board.isSuspect(Id, Now + 2 * OutlierDetector::FirstHold - 1ms));
  Now += 2 * OutlierDetector::FirstHold;
  EXPECT_FALSE(Board.isSuspect(Id, Now));
  Now += OutlierDetector::TrialTime;
  Board.record(tally("i0", Good), Now);
  Board.record(tally("i0", Lost), Now + 1s);
  EXPECT_FALSE(Board.isSuspect(Id, Now + 1s + OutlierDetector::FirstHold));
}

// Guards against dead instances that use up the share which may be ejected, so
// that failing ones stay in use: giliran-sel scale-2 lost a fifth of its
// tickets so.
TEST(HealthBoardTest, TakesProvenFailuresOutOfTheFloor) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(12);
  TimePoint Now{};
  for (int Index = 0; Index < 6; ++Index)
    Board.record(tally("i" + std::to_string(Index), Lost), Now);
  EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 6U);
}

// Guards against instances that ended without a word and take the place of
// failing ones, which are then tried at callers' cost: giliran-sel scale-2 lost
// tickets to three gray instances of nine beside three dead ones.
TEST(HealthBoardTest, CountsAbsentInstancesForNothing) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(20);
  TimePoint Now{};
  auto Fail = [&](const char *Id, Seen What, int Times) {
    for (int Time = 0; Time < Times; ++Time)
      Board.record(tally(Id, What), Now);
  };
  for (int Trial = 0; Trial < 2; ++Trial) {
    for (const char *Absent : {"i0", "i1", "i2"})
      Fail(Absent, Seen::Unreachable, 3);
    for (const char *Gray : {"i3", "i4"})
      Fail(Gray, Lost, 1);
    Now += OutlierDetector::FirstHold;
    serveWell(Board, 5, 20, Now);
  }
  // Two of seventeen are not too many to be left alone longer.
  EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 5U);
}

// Guards against healthy capacity lost to weak evidence about many instances.
TEST(HealthBoardTest, KeepsTheFloorOnWeakEvidence) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(10);
  TimePoint Now{};
  for (int Index = 0; Index < 8; ++Index) {
    std::string Id = "i" + std::to_string(Index);
    for (Seen Each : {Good, Good, Good, Good, Lost, Lost})
      Board.record(tally(Id, Each), Now);
  }
  EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 3U);
}

// Guards against instances that fail more than others and stay in use because
// of their names, and against evidence that is dropped while they do:
// teranga-roulements trouble-3 lost 30 of 160 orders to one of them.
TEST(HealthBoardTest, LeavesTheWorstAloneFirst) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(10);
  TimePoint Now{};
  auto Record = [&](const std::string &Id, int Successes, int Losses) {
    for (int Count = 0; Count < Successes; ++Count)
      Board.record(tally(Id, Good), Now);
    for (int Count = 0; Count < Losses; ++Count)
      Board.record(tally(Id, Lost), Now);
  };
  for (const char *Id : {"i0", "i1", "i2", "i3"})
    Record(Id, 8, 1);
  Record("i9", 3, 1);
  std::vector<InstanceId> First = Board.suspects(Registry, Percentage(70), Now);
  EXPECT_EQ(First, (std::vector{InstanceId("i0"), InstanceId("i1"),
                                InstanceId("i9")}));
  // It has stayed in use, and what it does since counts.
  Record("i3", 0, 3);
  std::vector<InstanceId> Second =
      Board.suspects(Registry, Percentage(70), Now);
  EXPECT_TRUE(std::count(Second.begin(), Second.end(), InstanceId("i3")));
}

// Guards against long holds while a service fails elsewhere too: four of eight
// sound instances got nothing in giliran-sel-grown hunt-4273-3.
TEST(HealthBoardTest, TriesSoonerWhereMuchOfAServiceFails) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(20);
  TimePoint Now{};
  Board.record(tally("i0", Lost), Now);
  EXPECT_TRUE(Board.isSuspect(InstanceId("i0"), Now));
  Now += OutlierDetector::ScarceHold;
  for (int Index = 1; Index < 20; ++Index)
    for (int Count = 0; Count < 5; ++Count)
      Board.record(tally("i" + std::to_string(Index), Good), Now);
  EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 1U);
  for (int Index = 1; Index < 20; ++Index)
    Board.record(tally("i" + std::to_string(Index), Seen::Error), Now);
  EXPECT_TRUE(Board.suspects(Registry, Percentage(70), Now).empty());
}

// Guards against a service that goes without recovered instances while it
// lacks capacity.
TEST(HealthBoardTest, TriesTheOldestSoonerWhereInstancesAreScarce) {
  OutlierDetector Board;
  ServiceRegistry Registry = poolOf(8);
  TimePoint Now{};
  for (int Trial = 0; Trial < 2; ++Trial) {
    for (int Index = 0; Index < 3; ++Index)
      Board.record(tally("i" + std::to_string(Index), Lost), Now);
    EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 3U);
    Now += OutlierDetector::FirstHold;
    serveWell(Board, 3, 8, Now);
  }
  // Their second holds last longer, but only one of eight may go on.
  EXPECT_EQ(Board.suspects(Registry, Percentage(70), Now).size(), 1U);
}

} // namespace
} // namespace jaybridge
