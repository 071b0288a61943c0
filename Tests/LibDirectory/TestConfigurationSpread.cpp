#include <Support/CaseName.h>
#include <Support/SpreadFleet.h>

namespace jaybridge {
namespace {

struct SpreadCase {
  const char *Name_;
  std::size_t Count_;
  LinkFaults Faults_;
  std::uint64_t Seed_;
};

class ConfigurationSpreadTest : public testing::TestWithParam<SpreadCase> {
protected:
  ConfigurationSpreadTest()
      : Fleet_(GetParam().Count_, GetParam().Faults_,
               RandomSeed(GetParam().Seed_)) {
    Fleet_.Simulation_.runFor(3s);
  }
  void TearDown() override { EXPECT_EQ(Fleet_.Recorder_.Faults_, 0U); }
  void commitUpTo(std::uint64_t Version) {
    while (Last_ < Version)
      Fleet_.commit(++Last_);
  }
  std::size_t all() const { return GetParam().Count_; }

  SpreadFleet Fleet_;
  std::uint64_t Last_ = 0;
};

// Guards against an accepted change that is not in force everywhere after 5 s.
TEST_P(ConfigurationSpreadTest, ChangeIsInForceEverywhereWithinFiveSeconds) {
  for (std::uint64_t Version = 1; Version <= 5; ++Version) {
    commitUpTo(Version);
    Fleet_.Simulation_.runFor(5s);
    ASSERT_EQ(Fleet_.countMembersAt(Version), all());
  }
}

// Guards against a daemon that misses changes while it is cut off, or takes
// back a version after it returned.
TEST_P(ConfigurationSpreadTest, DaemonThatWasAwayFetchesWhatItMissed) {
  for (std::size_t Other = 0; Other < all(); ++Other)
    Fleet_.Simulation_.cutBothWays(memberIdFor(3), memberIdFor(Other));
  commitUpTo(100);
  Fleet_.Simulation_.runFor(10s);
  EXPECT_EQ(Fleet_.countMembersAt(100), all() - 1);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(5s);
  EXPECT_EQ(Fleet_.countMembersAt(100), all());
  EXPECT_EQ(Fleet_.Recorder_.SnapshotsInstalled_, 0U);
}

// Guards against a restarted daemon that starts from an old version, or that
// needs entries which nobody holds any more.
TEST_P(ConfigurationSpreadTest, RestartedDaemonGetsTheNewestFromPeers) {
  for (int I = 0; I < 8; ++I) {
    commitUpTo(Last_ + 200);
    Fleet_.Simulation_.runFor(5s);
  }
  ASSERT_EQ(Fleet_.countMembersAt(1600), all());
  Fleet_.start(4, 2);
  Fleet_.Simulation_.runFor(10s);
  EXPECT_EQ(Fleet_.countMembersAt(1600), all());
  EXPECT_GE(Fleet_.Recorder_.SnapshotsInstalled_, 1U);
  EXPECT_TRUE(Fleet_.Recorder_.CurrentMembers_.contains(memberIdFor(4)));
}

// Guards against a daemon that calls itself current while it hears only its
// own failure domain, where nobody may have the newest version.
TEST_P(ConfigurationSpreadTest, OneFailureDomainIsNotEnoughToBeCurrent) {
  for (std::size_t Other = 0; Other < all(); ++Other)
    if (Other % 3 != 4 % 3)
      Fleet_.Simulation_.cutLink(memberIdFor(Other), memberIdFor(4));
  Fleet_.start(4, 2);
  Fleet_.Simulation_.runFor(30s);
  EXPECT_FALSE(Fleet_.Recorder_.CurrentMembers_.contains(memberIdFor(4)));
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(5s);
  EXPECT_TRUE(Fleet_.Recorder_.CurrentMembers_.contains(memberIdFor(4)));
}

// Guards against a status that shows a newer version than is in force.
TEST_P(ConfigurationSpreadTest, TableOfVersionsIsNeverAheadOfTheTruth) {
  commitUpTo(3);
  Fleet_.Simulation_.runFor(60s);
  Fleet_.Simulation_.cutLink(memberIdFor(0), memberIdFor(3));
  commitUpTo(4);
  Fleet_.Simulation_.runFor(200ms);
  std::size_t Known = 0;
  for (const VersionInForce &Each :
       Fleet_.Simulation_.role(memberIdFor(1)).versions()) {
    EXPECT_LE(Each.Version_, Fleet_.Simulation_.role(Each.Member_).inForce());
    Known += Each.Version_ >= ConfigurationVersion(3) ? 1 : 0;
  }
  EXPECT_EQ(Known, all());
}

constexpr LinkFaults Clean{};
constexpr LinkFaults Lossy{Percentage(5), Percentage(5), 1ms, 20ms};

INSTANTIATE_TEST_SUITE_P(
    Fleets, ConfigurationSpreadTest,
    testing::Values(SpreadCase{"FiveClean", 5, Clean, 1},
                    SpreadCase{"AgencyClean", 46, Clean, 2},
                    SpreadCase{"AgencyLossy", 46, Lossy, 3}),
    CaseName());

} // namespace
} // namespace jaybridge
