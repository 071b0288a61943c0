#include <Support/CaseName.h>
#include <Support/DistributionFleet.h>

namespace jaybridge {
namespace {

struct FleetCase {
  const char *Name_;
  std::size_t Count_;
  LinkFaults Faults_;
  std::uint64_t Seed_;
};

class ConfigurationDistributorTest : public testing::TestWithParam<FleetCase> {
protected:
  ConfigurationDistributorTest()
      : Fleet_(GetParam().Count_, GetParam().Faults_,
               RandomSeed(GetParam().Seed_)) {
    Fleet_.Simulation_.runFor(3s);
  }
  void TearDown() override {
    EXPECT_EQ(Fleet_.Recorder_.OutOfOrderVersions_, 0U);
  }
  void commitUpTo(std::uint64_t Version) {
    while (LastVersion_ < Version)
      Fleet_.commit(++LastVersion_);
  }
  std::size_t memberCount() const { return GetParam().Count_; }

  DistributionFleet Fleet_;
  std::uint64_t LastVersion_ = 0;
};

// Guards against a committed change that some daemon has not applied after 5 s.
TEST_P(ConfigurationDistributorTest,
       ChangeIsAppliedEverywhereWithinFiveSeconds) {
  for (std::uint64_t Version = 1; Version <= 5; ++Version) {
    commitUpTo(Version);
    Fleet_.Simulation_.runFor(5s);
    ASSERT_EQ(Fleet_.countMembersAt(Version), memberCount());
  }
}

// Guards against a daemon that never applies the changes committed during its
// partition, or reverts to an older version after the partition has healed.
TEST_P(ConfigurationDistributorTest, PartitionedDaemonFetchesMissedEntries) {
  for (std::size_t Other = 0; Other < memberCount(); ++Other)
    Fleet_.Simulation_.cutBothWays(memberIdFor(3), memberIdFor(Other));
  commitUpTo(100);
  Fleet_.Simulation_.runFor(10s);
  EXPECT_EQ(Fleet_.countMembersAt(100), memberCount() - 1);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(5s);
  EXPECT_EQ(Fleet_.countMembersAt(100), memberCount());
  EXPECT_EQ(Fleet_.Recorder_.SnapshotsApplied_, 0U);
}

// Guards against a restarted daemon that stays at an old version, or that
// requests entries which no peer keeps any more instead of a snapshot.
TEST_P(ConfigurationDistributorTest, RestartedDaemonLoadsASnapshotFromPeers) {
  for (int I = 0; I < 8; ++I) {
    commitUpTo(LastVersion_ + 200);
    Fleet_.Simulation_.runFor(5s);
  }
  ASSERT_EQ(Fleet_.countMembersAt(1600), memberCount());
  Fleet_.start(4, 2);
  Fleet_.Simulation_.runFor(10s);
  EXPECT_EQ(Fleet_.countMembersAt(1600), memberCount());
  EXPECT_GE(Fleet_.Recorder_.SnapshotsApplied_, 1U);
  EXPECT_TRUE(Fleet_.Recorder_.UpToDateMembers_.contains(memberIdFor(4)));
}

// Guards against a daemon that considers itself up to date while it hears only
// from its own failure domain, where no member may have the latest version.
TEST_P(ConfigurationDistributorTest, OneFailureDomainIsNotEnoughToBeUpToDate) {
  for (std::size_t Other = 0; Other < memberCount(); ++Other)
    if (Other % 3 != 4 % 3)
      Fleet_.Simulation_.cutLink(memberIdFor(Other), memberIdFor(4));
  Fleet_.start(4, 2);
  Fleet_.Simulation_.runFor(30s);
  EXPECT_FALSE(Fleet_.Recorder_.UpToDateMembers_.contains(memberIdFor(4)));
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(5s);
  EXPECT_TRUE(Fleet_.Recorder_.UpToDateMembers_.contains(memberIdFor(4)));
}

// Guards against a status that reports a newer version for a member than it has
// applied.
TEST_P(ConfigurationDistributorTest,
       ReportedVersionsAreNeverAheadOfTheMembers) {
  commitUpTo(3);
  Fleet_.Simulation_.runFor(60s);
  Fleet_.Simulation_.cutLink(memberIdFor(0), memberIdFor(3));
  commitUpTo(4);
  Fleet_.Simulation_.runFor(200ms);
  std::size_t UpToDateCount = 0;
  for (const MemberVersion &Reported :
       Fleet_.Simulation_.role(memberIdFor(1)).memberVersions()) {
    EXPECT_LE(Reported.Version_,
              Fleet_.Simulation_.role(Reported.Member_).currentVersion());
    UpToDateCount += Reported.Version_ >= ConfigurationVersion(3) ? 1 : 0;
  }
  EXPECT_EQ(UpToDateCount, memberCount());
}

constexpr LinkFaults Clean{};
constexpr LinkFaults Lossy{Percentage(5), Percentage(5), 1ms, 20ms};

INSTANTIATE_TEST_SUITE_P(Fleets, ConfigurationDistributorTest,
                         testing::Values(FleetCase{"FiveClean", 5, Clean, 1},
                                         FleetCase{"AgencyClean", 46, Clean, 2},
                                         FleetCase{"AgencyLossy", 46, Lossy,
                                                   3}),
                         CaseName());

} // namespace
} // namespace jaybridge
