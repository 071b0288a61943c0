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
  std::size_t others() const { return GetParam().Count_ - 1; }

  MembershipFleet Fleet_;
};

// Guards against members that are never found, and against healthy members
// declared dead by loss, duplicates and delay alone.
TEST_P(MembershipTest, FindsAllAndKeepsHealthyMembers) {
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), GetParam().Count_);
  Fleet_.Simulation_.runFor(5min);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), GetParam().Count_);
}

// Guards against a cut in one direction between two members that removes one.
TEST_P(MembershipTest, OneWayCutRemovesNobody) {
  Fleet_.Simulation_.cutLink(memberIdFor(2), memberIdFor(3));
  Fleet_.Simulation_.cutLink(memberIdFor(1), memberIdFor(2));
  Fleet_.Simulation_.runFor(5min);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
}

// Guards against a dead member that stays in the views.
TEST_P(MembershipTest, RemovesAStoppedMember) {
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countMembersSeeing(others() - 1), GetParam().Count_ - 1);
}

// Guards against a frozen member that, on waking, declares others dead or
// stays out of the fleet for good.
TEST_P(MembershipTest, FrozenMemberReturnsWithoutRemovingOthers) {
  MemberId Frozen = memberIdFor(2);
  Fleet_.Simulation_.freezeUntil(Frozen, Fleet_.Simulation_.now() + 90s);
  Fleet_.Simulation_.runFor(150s);
  for (const auto &[By, Of] : Fleet_.Recorder_.Deaths_)
    EXPECT_EQ(Of, Frozen) << By.text();
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), GetParam().Count_);
}

// Guards against a restarted member that the record of its earlier run keeps
// out.
TEST_P(MembershipTest, RestartedMemberIsTakenBack) {
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(60s);
  Fleet_.Simulation_.start(memberIdFor(3), membershipFor(3, 2));
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), GetParam().Count_);
}

// Guards against a leave that others take for a failure or do not hear of.
TEST_P(MembershipTest, LeaveIsKnownWithoutSuspicion) {
  Fleet_.Simulation_.inject(memberIdFor(3), LeaveRequested{});
  Fleet_.Simulation_.runFor(2s);
  EXPECT_EQ(Fleet_.Recorder_.LeavesFinished_, 1U);
  Fleet_.Simulation_.stop(memberIdFor(3));
  Fleet_.Simulation_.runFor(30s);
  EXPECT_EQ(Fleet_.Recorder_.Deaths_.size(), 0U);
  EXPECT_EQ(Fleet_.countMembersSeeing(others() - 1), GetParam().Count_ - 1);
}

// Guards against two halves that stay apart after a partition has healed.
TEST_P(MembershipTest, HalvesMeetAfterAPartition) {
  std::size_t Half = GetParam().Count_ / 2;
  for (std::size_t A = 0; A < Half; ++A)
    for (std::size_t B = Half; B < GetParam().Count_; ++B)
      Fleet_.Simulation_.cutBothWays(memberIdFor(A), memberIdFor(B));
  Fleet_.Simulation_.runFor(10min);
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), 0U);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(2min);
  EXPECT_EQ(Fleet_.countMembersSeeing(others()), GetParam().Count_);
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

struct DraftCase {
  const char *Name_;
  MemberRecord Self_;
  std::size_t Seeds_;
  bool IsValid_;
};

class MembershipDraftTest : public testing::TestWithParam<DraftCase> {};

// Guards against a daemon that joins without an identity of its own.
TEST_P(MembershipDraftTest, ChecksTheDraft) {
  std::vector<Endpoint> Seeds(GetParam().Seeds_, memberAddressFor(1));
  EXPECT_EQ(
      Membership::create({GetParam().Self_, Seeds, RandomSeed(1)}).hasValue(),
      GetParam().IsValid_);
}

MemberRecord changed(void (*Change)(MemberRecord &)) {
  MemberRecord Record = memberRecordFor(4);
  Change(Record);
  return Record;
}

INSTANTIATE_TEST_SUITE_P(
    Drafts, MembershipDraftTest,
    testing::Values(
        DraftCase{"Whole", memberRecordFor(4), 2, true},
        DraftCase{"NoSeeds", memberRecordFor(4), 0, true},
        DraftCase{"TooManySeeds", memberRecordFor(4), 33, false},
        DraftCase{"NoId", changed([](auto &R) { R.Id_ = {}; }), 1, false},
        DraftCase{"NoDomain", changed([](auto &R) { R.Domain_ = {}; }), 1,
                  false},
        DraftCase{"StartsDead",
                  changed([](auto &R) { R.State_ = MemberState::Dead; }), 1,
                  false}),
    CaseName());

} // namespace
} // namespace jaybridge
