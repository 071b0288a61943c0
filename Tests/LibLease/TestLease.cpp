#include <Support/CaseName.h>
#include <Support/LeaseFleet.h>

namespace jaybridge {
namespace {

struct LeaseCase {
  const char *Name_;
  std::size_t Count_;
  std::size_t Services_;
  LinkFaults Faults_;
  std::uint64_t Seed_;
};

class LeaseTest : public testing::TestWithParam<LeaseCase> {
protected:
  LeaseTest()
      : Fleet_(GetParam().Count_, GetParam().Services_, GetParam().Faults_,
               RandomSeed(GetParam().Seed_)) {
    Fleet_.Simulation_.runFor(30s);
  }
  // No scenario may ever have two holders at once or a fence that falls.
  void TearDown() override {
    EXPECT_EQ(Fleet_.Recorder_.Overlaps_, 0U);
    EXPECT_EQ(Fleet_.Recorder_.FenceRegressions_, 0U);
  }
  std::size_t services() const { return GetParam().Services_; }
  std::size_t holder() {
    return std::stoul(
        Fleet_.Recorder_.Holder_[Fleet_.Services_[0]].text().substr(3));
  }
  void isolate(std::size_t Member) {
    for (std::size_t Other = 0; Other < GetParam().Count_; ++Other)
      Fleet_.Simulation_.cutBothWays(memberIdFor(Member), memberIdFor(Other));
  }

  LeaseFleet Fleet_;
};

// Guards against services without an authority, and against holders that
// change without need.
TEST_P(LeaseTest, EveryServiceKeepsOneAuthority) {
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
  // Lets those who won at the start hand over to the first in rank.
  Fleet_.Simulation_.runFor(LeaseCandidate::HandOverDelay + 30s);
  std::size_t Before = Fleet_.Recorder_.Takeovers_;
  Fleet_.Simulation_.runFor(5min);
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
  EXPECT_EQ(Fleet_.Recorder_.Takeovers_, Before);
}

// Guards against a renewal message per service.
TEST_P(LeaseTest, OneMessageRenewsAllLeasesOfAHolder) {
  Fleet_.Simulation_.runFor(30s);
  std::set<MemberId> Holders;
  for (const auto &[Service, Id] : Fleet_.Recorder_.Holder_)
    Holders.insert(Id);
  std::size_t Before = Fleet_.Recorder_.Messages_;
  Fleet_.Simulation_.runFor(60s);
  // Renewals and answers, and room for the claims of the next in rank.
  std::size_t Rounds = 60s / LeaseCandidate::RenewPeriod + 1;
  std::size_t PerRound = 2 * LeaseFleet::VoterCount;
  EXPECT_LE(Fleet_.Recorder_.Messages_ - Before,
            PerRound * Rounds * (Holders.size() + GetParam().Count_));
}

// Guards against a successor that starts while the old holder, cut off from
// all, still relies on its lease.
TEST_P(LeaseTest, TakeOverWaitsForTheLeaseOfACutOffHolder) {
  std::size_t Old = holder();
  isolate(Old);
  Fleet_.setMemberAlive(Old, false);
  Fleet_.Simulation_.runFor(40s);
  EXPECT_NE(holder(), Old);
  Fleet_.Simulation_.healAll();
  Fleet_.setMemberAlive(Old, true);
  Fleet_.Simulation_.runFor(3min);
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
}

// Guards against a frozen holder that wakes and still acts as the authority.
TEST_P(LeaseTest, FrozenHolderHasLostItsLeaseWhenItWakes) {
  std::size_t Old = holder();
  Fleet_.Simulation_.freezeUntil(memberIdFor(Old),
                                 Fleet_.Simulation_.now() + 60s);
  Fleet_.setMemberAlive(Old, false);
  Fleet_.Simulation_.runFor(60s + Duration(1));
  EXPECT_NE(holder(), Old);
  Fleet_.Simulation_.runFor(3min);
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
}

// Guards against voters that forget their votes in a restart and elect a
// second holder, also when they restart one after the other.
TEST_P(LeaseTest, RestartedVotersElectNoSecondHolder) {
  std::size_t Old = holder();
  for (std::size_t Voter = 0; Voter < LeaseFleet::VoterCount; ++Voter) {
    if (Voter == Old)
      continue;
    Fleet_.start(Voter, 2);
    Fleet_.Simulation_.runFor(9s);
  }
  for (std::size_t Voter = 0; Voter < LeaseFleet::VoterCount; ++Voter)
    if (Voter != Old)
      Fleet_.start(Voter, 3);
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
}

// Guards against an authority without a majority of the voters.
TEST_P(LeaseTest, NobodyHoldsWithoutAMajority) {
  isolate(0);
  isolate(1);
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countHeldLeases(), 0U);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(60s);
  EXPECT_EQ(Fleet_.countHeldLeases(), services());
}

constexpr LinkFaults Clean{};
constexpr LinkFaults Lossy{Percentage(5), Percentage(5), 1ms, 20ms};
constexpr LinkFaults Slow{Percentage(2), Percentage(20), 1ms, 1500ms};

INSTANTIATE_TEST_SUITE_P(
    Fleets, LeaseTest,
    testing::Values(LeaseCase{"FiveClean", 5, 3, Clean, 1},
                    LeaseCase{"AgencyClean", 46, 3, Clean, 2},
                    LeaseCase{"AgencyLossy", 46, 3, Lossy, 3},
                    LeaseCase{"AgencySlow", 46, 3, Slow, 4},
                    LeaseCase{"ManyServices", 46, 400, Lossy, 5}),
    CaseName());

class LeaseFaultsTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a sequence of cuts, freezes, restarts, wrong views, loss and
// delay that leads to two holders or to a fence that falls. Counting answers
// to earlier rounds without regard to their fence, or of an earlier run,
// did so, and so did a later round with lesser fences.
TEST_P(LeaseFaultsTest, NeverTwoHoldersAndFencesRise) {
  constexpr std::size_t Members = 9;
  std::uint64_t Seed = GetParam();
  LinkFaults Faults{Percentage(static_cast<std::uint32_t>(Seed % 4 * 5)),
                    Percentage(10), 1ms, Seed % 3 == 0 ? 3s : 20ms};
  LeaseFleet Fleet(Members, 4, Faults, RandomSeed(Seed));
  Random Numbers{RandomSeed(Seed + 7777)};
  for (std::uint64_t Step = 0; Step < 120; ++Step) {
    Fleet.Simulation_.runFor(Duration(Numbers.below(8'000'000)));
    std::size_t A = Numbers.below(Members);
    switch (Numbers.below(7)) {
    case 0:
      Fleet.Simulation_.cutLink(memberIdFor(A),
                                memberIdFor(Numbers.below(Members)));
      break;
    case 1:
      Fleet.Simulation_.healAll();
      break;
    case 2:
      Fleet.Simulation_.freezeUntil(memberIdFor(A),
                                    Fleet.Simulation_.now() +
                                        Duration(Numbers.below(20'000'000)));
      break;
    case 3:
      Fleet.start(A, 2 + Step);
      break;
    case 4:
      Fleet.setMemberAlive(A, false);
      break;
    case 5:
      Fleet.setMemberAlive(A, true);
      break;
    default:
      for (std::size_t Other = 0; Other < Members; ++Other)
        Fleet.Simulation_.cutBothWays(memberIdFor(A), memberIdFor(Other));
    }
  }
  EXPECT_EQ(Fleet.Recorder_.Overlaps_, 0U);
  EXPECT_EQ(Fleet.Recorder_.FenceRegressions_, 0U);
  EXPECT_GT(Fleet.Recorder_.Takeovers_, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaseFaultsTest,
                         testing::Values(162, 165, 171, 207, 231, 276, 219, 249,
                                         281, 282, 283, 284, 285, 288, 291, 292,
                                         297, 300));

} // namespace
} // namespace jaybridge
