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
    Fleet_.Simulation_.runFor(30s);
  }
  /// Number of members besides one.
  std::size_t otherCount() const { return GetParam().Count_ - 1; }

  MembershipFleet Fleet_;
};

// Guards against members that are never discovered, and against declaring
// healthy members dead only because messages are lost, duplicated or delayed.
TEST_P(MembershipTest, DiscoversAllAndKeepsHealthyMembers) {
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), GetParam().Count_);
  Fleet_.Simulation_.runFor(5min);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), GetParam().Count_);
}

// Guards against declaring a member dead because a link to one other member
// fails in one direction.
TEST_P(MembershipTest, OneWayLinkFailureRemovesNoMember) {
  Fleet_.Simulation_.cutLink(memberIdFor(2), memberIdFor(3));
  Fleet_.Simulation_.cutLink(memberIdFor(1), memberIdFor(2));
  Fleet_.Simulation_.runFor(5min);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
}

// Guards against a stopped member that is still listed as live a minute later.
TEST_P(MembershipTest, RemovesStoppedMember) {
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount() - 1), GetParam().Count_ - 1);
}

// Guards against a paused member that declares others dead when it
// resumes, because it received nothing from them meanwhile, or that never
// rejoins.
TEST_P(MembershipTest, PausedMemberRejoinsWithoutRemovingOthers) {
  MemberId Paused = memberIdFor(2);
  Fleet_.Simulation_.freezeUntil(Paused, Fleet_.Simulation_.now() + 90s);
  Fleet_.Simulation_.runFor(150s);
  for (const auto &[Declarer, Declared] : Fleet_.Recorder_.Deaths_)
    EXPECT_EQ(Declared, Paused) << Declarer.text();
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), GetParam().Count_);
}

// Guards against a restarted member that is not accepted, because the fleet
// still has the record of its death.
TEST_P(MembershipTest, RestartedMemberRejoins) {
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(60s);
  Fleet_.Simulation_.start(memberIdFor(3), membershipFor(3, 2));
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), GetParam().Count_);
}

// Guards against a leaving member that others declare dead or still list as
// live.
TEST_P(MembershipTest, LeaveIsNotTreatedAsFailure) {
  Fleet_.Simulation_.inject(memberIdFor(3), LeaveRequested{});
  Fleet_.Simulation_.runFor(2s);
  EXPECT_EQ(Fleet_.Recorder_.LeavesFinished_, 1U);
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(30s);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount() - 1), GetParam().Count_ - 1);
}

// Guards against the two sides of a partition not merging after it has healed,
// which happens when each side has removed all members of the other.
TEST_P(MembershipTest, SidesMergeAfterPartition) {
  std::size_t Half = GetParam().Count_ / 2;
  for (std::size_t A = 0; A < Half; ++A)
    for (std::size_t B = Half; B < GetParam().Count_; ++B)
      Fleet_.Simulation_.cutBothWays(memberIdFor(A), memberIdFor(B));
  Fleet_.Simulation_.runFor(10min);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), 0U);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(2min);
  EXPECT_EQ(Fleet_.countMembersSeeing(otherCount()), GetParam().Count_);
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
  std::vector<Endpoint> Seeds(GetParam().SeedCount_, memberAddressFor(1));
  EXPECT_EQ(
      Membership::create({GetParam().Self_, Seeds, RandomSeed(1)}).hasValue(),
      GetParam().IsValid_);
}

MemberRecord changedRecord(void (*Change)(MemberRecord &)) {
  MemberRecord Record = memberRecordFor(4);
  Change(Record);
  return Record;
}

INSTANTIATE_TEST_SUITE_P(
    Settings, MembershipSettingsTest,
    testing::Values(SettingsCase{"Whole", memberRecordFor(4), 2, true},
                    SettingsCase{"NoSeeds", memberRecordFor(4), 0, true},
                    SettingsCase{"TooManySeeds", memberRecordFor(4), 33, false},
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
