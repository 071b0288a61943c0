#include <Support/CaseName.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {
namespace {

struct FleetCase {
  const char *Name_;
  std::size_t Count_;
  LinkFaults Faults_;
  std::uint64_t Seed_;
};

class MembershipTest : public testing::TestWithParam<FleetCase> {
protected:
  MembershipTest()
      : Fleet_(GetParam().Count_, GetParam().Faults_,
               RandomSeed(GetParam().Seed_)) {
    Fleet_.Run_.runFor(30s);
  }
  /// Number of members besides one.
  std::size_t otherCount() const { return GetParam().Count_ - 1; }

  MembershipFleet Fleet_;
};

// Guards against members that are never discovered, and against declaring
// healthy members dead only because messages are lost, duplicated or delayed.
TEST_P(MembershipTest, DiscoversAllAndKeepsHealthyMembers) {
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), GetParam().Count_);
  Fleet_.Run_.runFor(5min);
  EXPECT_EQ(Fleet_.Watch_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), GetParam().Count_);
}

// Guards against declaring a member dead because a link to one other member
// fails in one direction.
TEST_P(MembershipTest, OneWayLinkFailureRemovesNoMember) {
  Fleet_.Run_.cut(memberNumber(2), memberNumber(3));
  Fleet_.Run_.cut(memberNumber(1), memberNumber(2));
  Fleet_.Run_.runFor(5min);
  EXPECT_EQ(Fleet_.Watch_.Deaths_.size(), 0U);
}

// Guards against a stopped member that is still listed as live a minute later.
TEST_P(MembershipTest, RemovesStoppedMember) {
  Fleet_.Run_.stop(memberNumber(3));
  Fleet_.Run_.runFor(60s);
  EXPECT_EQ(Fleet_.countSeeing(otherCount() - 1), GetParam().Count_ - 1);
}

// Guards against a paused member that declares others dead when it
// resumes, because it received nothing from them meanwhile, or that never
// rejoins.
TEST_P(MembershipTest, PausedMemberRejoinsWithoutRemovingOthers) {
  MemberId Paused = memberNumber(2);
  Fleet_.Run_.freezeUntil(Paused, Fleet_.Run_.now() + 90s);
  Fleet_.Run_.runFor(150s);
  for (const auto &[Declarer, Declared] : Fleet_.Watch_.Deaths_)
    EXPECT_EQ(Declared, Paused) << Declarer.text();
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), GetParam().Count_);
}

// Guards against a restarted member that is not accepted, because the fleet
// still has the record of its death.
TEST_P(MembershipTest, RestartedMemberRejoins) {
  Fleet_.Run_.stop(memberNumber(3));
  Fleet_.Run_.runFor(60s);
  Fleet_.Run_.start(memberNumber(3), membershipOf(3, 2));
  Fleet_.Run_.runFor(60s);
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), GetParam().Count_);
}

// Guards against a leaving member that others declare dead or still list as
// live.
TEST_P(MembershipTest, LeaveIsNotTreatedAsFailure) {
  Fleet_.Run_.give(memberNumber(3), LeaveRequested{});
  Fleet_.Run_.runFor(2s);
  EXPECT_EQ(Fleet_.Watch_.LeavesFinished_, 1U);
  Fleet_.Run_.stop(memberNumber(3));
  Fleet_.Run_.runFor(30s);
  EXPECT_EQ(Fleet_.Watch_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countSeeing(otherCount() - 1), GetParam().Count_ - 1);
}

// Guards against the two sides of a partition not merging after it has healed,
// which happens when each side has removed all members of the other.
TEST_P(MembershipTest, SidesMergeAfterPartition) {
  std::size_t Half = GetParam().Count_ / 2;
  for (std::size_t A = 0; A < Half; ++A)
    for (std::size_t B = Half; B < GetParam().Count_; ++B)
      Fleet_.Run_.cutBothWays(memberNumber(A), memberNumber(B));
  Fleet_.Run_.runFor(10min);
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), 0U);
  Fleet_.Run_.healAll();
  Fleet_.Run_.runFor(2min);
  EXPECT_EQ(Fleet_.countSeeing(otherCount()), GetParam().Count_);
}

constexpr LinkFaults Clean{};
constexpr LinkFaults Lossy{Percentage(5), Percentage(5), 1ms, 20ms};

INSTANTIATE_TEST_SUITE_P(Fleets, MembershipTest,
                         testing::Values(FleetCase{"FiveClean", 5, Clean, 1},
                                         FleetCase{"FiveLossy", 5, Lossy, 2},
                                         FleetCase{"AgencyClean", 46, Clean, 3},
                                         FleetCase{"AgencyLossy", 46, Lossy, 4},
                                         FleetCase{"AgencyLossyOtherSeed", 46,
                                                   Lossy, 5}),
                         CaseName());

struct SettingsCase {
  const char *Name_;
  MemberRecord Self_;
  std::size_t SeedCount_;
  bool IsValid_;
};

class MembershipSettingsTest : public testing::TestWithParam<SettingsCase> {};

// Guards against accepting settings without an id or failure domain, with a
// dead initial state or with too many seeds.
TEST_P(MembershipSettingsTest, ValidatesSettings) {
  std::vector<Endpoint> Seeds(GetParam().SeedCount_, addressOf(1));
  EXPECT_EQ(
      Membership::create({GetParam().Self_, Seeds, RandomSeed(1)}).hasValue(),
      GetParam().IsValid_);
}

MemberRecord changedRecord(void (*Change)(MemberRecord &)) {
  MemberRecord Record = recordOf(4);
  Change(Record);
  return Record;
}

INSTANTIATE_TEST_SUITE_P(
    Settings, MembershipSettingsTest,
    testing::Values(SettingsCase{"Whole", recordOf(4), 2, true},
                    SettingsCase{"NoSeeds", recordOf(4), 0, true},
                    SettingsCase{"TooManySeeds", recordOf(4), 33, false},
                    SettingsCase{"NoId",
                                 changedRecord([](auto &R) { R.Id_ = {}; }), 1,
                                 false},
                    SettingsCase{"NoDomain",
                                 changedRecord([](auto &R) { R.Domain_ = {}; }),
                                 1, false},
                    SettingsCase{"StartsDead", changedRecord([](auto &R) {
                                   R.State_ = MemberState::Dead;
                                 }),
                                 1, false}),
    CaseName());

} // namespace
} // namespace jaybridge
