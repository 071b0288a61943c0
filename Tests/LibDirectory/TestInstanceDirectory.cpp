#include <Support/CaseName.h>
#include <Support/DirectoryFleet.h>

namespace jaybridge {
namespace {

struct FleetCase {
  const char *Name_;
  std::size_t Count_;
  LinkFaults Faults_;
  std::uint64_t Seed_;
};

class InstanceDirectoryTest : public testing::TestWithParam<FleetCase> {
protected:
  static constexpr Duration AnnounceInterval = 10s;
  static constexpr Duration MaxTimeToLapse =
      LeaseTable::LeaseDuration + LeaseTable::MinRemainingDuration + 5s;

  InstanceDirectoryTest()
      : Fleet_(GetParam().Count_, GetParam().Faults_,
               RandomSeed(GetParam().Seed_)) {
    Fleet_.Simulation_.runFor(3s);
  }
  std::size_t memberCount() const { return GetParam().Count_; }
  /// Announces through a different member each time, as a load balancer in
  /// front of the daemons does.
  void keepAnnouncing(const InstanceRecord &Record, Duration Span) {
    for (Duration Passed{}; Passed < Span; Passed += AnnounceInterval) {
      Fleet_.announce(NextMember_++ % memberCount(), Record);
      Fleet_.Simulation_.runFor(AnnounceInterval);
    }
  }
  std::size_t firstRegistrarOf(const InstanceId &Id) {
    LeafRegistrars Registrars;
    for (std::size_t I = 0; I < memberCount(); ++I)
      Registrars.add(memberIdFor(I));
    auto Chosen =
        Registrars.registrarsOf(RecordTable::leafOf(keyOf(Id))).front();
    return std::stoul(Chosen.text().substr(3));
  }

  DirectoryFleet Fleet_;
  InstanceRecord Instance_ = instanceRecordFor(7);
  std::size_t NextMember_ = 0;
};

// Guards against gateways that keep sending requests to a draining instance
// because they missed the first messages about it.
TEST_P(InstanceDirectoryTest, DrainIsKnownEverywhereWithinTwoSeconds) {
  Fleet_.announce(0, Instance_);
  Fleet_.Simulation_.runFor(5s);
  ASSERT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Serving),
            memberCount());
  Instance_.State_ = InstanceState::Draining;
  Fleet_.isolate(3);
  Fleet_.announce(1, Instance_);
  Fleet_.Simulation_.runFor(500ms);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(1500ms);
  EXPECT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Draining),
            memberCount());
}

// Guards against live instances whose lease expires, and against renewals that
// are sent to more members than the two registrars.
TEST_P(InstanceDirectoryTest, AnnouncementsRenewTheLeaseAtTwoRegistrars) {
  keepAnnouncing(Instance_, 5min);
  EXPECT_EQ(Fleet_.Recorder_.Lapses_, 0U);
  EXPECT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Serving),
            memberCount());
  EXPECT_LE(Fleet_.Recorder_.RenewalMessages_, 2U * (5min / AnnounceInterval));
}

// Guards against an instance that stops announcing but stays in the directory.
TEST_P(InstanceDirectoryTest, SilentInstanceLapsesEverywhere) {
  keepAnnouncing(Instance_, 1min);
  Fleet_.Simulation_.runFor(MaxTimeToLapse);
  EXPECT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Lapsed),
            memberCount());
}

// Guards against a live instance that stays lapsed although it announces itself
// again.
TEST_P(InstanceDirectoryTest, AnnouncementRestoresALapsedInstance) {
  Fleet_.announce(0, Instance_);
  Fleet_.Simulation_.runFor(MaxTimeToLapse);
  ASSERT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Lapsed),
            memberCount());
  Fleet_.announce(2, Instance_);
  Fleet_.Simulation_.runFor(2s);
  EXPECT_EQ(Fleet_.countDaemonsKnowing(Instance_.Id_, InstanceState::Serving),
            memberCount());
  EXPECT_TRUE(Fleet_.Recorder_.Answers_.back().IsAccepted_);
}

// Guards against a registrar that marks live instances as lapsed because it was
// partitioned from the fleet or paused itself.
TEST_P(InstanceDirectoryTest, PartitionedOrPausedRegistrarMarksNoLapse) {
  keepAnnouncing(Instance_, 1min);
  std::size_t Registrar = firstRegistrarOf(Instance_.Id_);
  Fleet_.isolate(Registrar);
  keepAnnouncing(Instance_, 2min);
  Fleet_.Simulation_.healAll();
  keepAnnouncing(Instance_, 1min);
  Fleet_.Simulation_.freezeUntil(memberIdFor(Registrar),
                                 Fleet_.Simulation_.now() + 60s);
  NextMember_ = Registrar + 1;
  keepAnnouncing(Instance_, 2min);
  EXPECT_EQ(Fleet_.Recorder_.Lapses_, 0U);
}

// Guards against a gateway that relies on a directory that no peer has compared
// recently, also when old responses were queued while the daemon was paused.
TEST_P(InstanceDirectoryTest, LostConfirmationIsReported) {
  auto &Reported = Fleet_.Recorder_.Confirmations_[memberIdFor(3)];
  ASSERT_EQ(Reported, std::vector<bool>{true});
  Fleet_.isolate(3);
  Fleet_.Simulation_.runFor(InstanceDirectory::ConfirmationTimeout + 1ms);
  EXPECT_EQ(Reported.size(), 2U);
  Fleet_.Simulation_.healAll();
  Fleet_.Simulation_.runFor(3s);
  EXPECT_EQ(Reported, (std::vector<bool>{true, false, true}));
  TimePoint ResumesAt = Fleet_.Simulation_.now() + 20s;
  Fleet_.Simulation_.freezeUntil(memberIdFor(3), ResumesAt);
  Fleet_.Simulation_.runFor(20s + Duration(2));
  EXPECT_EQ(Reported, (std::vector<bool>{true, false, true, false}));
}

// Guards against directories that still differ after a partition has healed,
// and against a restarted daemon that does not load the records.
TEST_P(InstanceDirectoryTest, PartitionedAndRestartedDaemonsCatchUp) {
  Fleet_.isolate(3);
  for (std::size_t I = 0; I < 300; ++I)
    Fleet_.announce(I % 2, instanceRecordFor(I));
  Fleet_.announce(3, instanceRecordFor(300));
  Fleet_.Simulation_.runFor(15s);
  Fleet_.Simulation_.healAll();
  Fleet_.start(4, 2);
  Fleet_.Simulation_.runFor(15s);
  for (const MemberId &Id : Fleet_.Simulation_.members()) {
    EXPECT_EQ(Fleet_.Simulation_.role(Id).records().size(), 301U) << Id.text();
    EXPECT_TRUE(Fleet_.Simulation_.role(Id).isConfirmed()) << Id.text();
  }
}

// Guards against load reports that are sent to daemons other than the homes of
// the service.
TEST_P(InstanceDirectoryTest, LoadReportReachesOnlyHomes) {
  Fleet_.Simulation_.inject(
      memberIdFor(0),
      InstanceLoadReported{{Instance_.Id_, Instance_.Service_, SlotCount(2)}});
  Fleet_.Simulation_.runFor(1s);
  EXPECT_LE(Fleet_.Recorder_.LoadReportCounts_.size(), 3U);
}

constexpr LinkFaults Clean{};
constexpr LinkFaults Lossy{Percentage(5), Percentage(5), 1ms, 20ms};

INSTANTIATE_TEST_SUITE_P(Fleets, InstanceDirectoryTest,
                         testing::Values(FleetCase{"FiveClean", 5, Clean, 1},
                                         FleetCase{"AgencyClean", 46, Clean, 2},
                                         FleetCase{"AgencyLossy", 46, Lossy,
                                                   4}),
                         CaseName());

struct OrderCase {
  const char *Name_;
  InstanceState First_;
  std::uint64_t FirstVersion_;
  InstanceState Second_;
  std::uint64_t SecondVersion_;
  bool IsAccepted_;
  InstanceState Expected_;
};

class AnnouncementOrderTest : public testing::TestWithParam<OrderCase> {};

// Guards against an outdated announcement that overrides a newer one.
TEST_P(AnnouncementOrderTest, NewerIncarnationThenLaterStateWins) {
  const OrderCase &Case = GetParam();
  DirectoryFleet Fleet(1, LinkFaults{}, RandomSeed(1));
  InstanceRecord Record = instanceRecordFor(1, Case.FirstVersion_);
  Record.State_ = Case.First_;
  Fleet.announce(0, Record);
  Record.State_ = Case.Second_;
  Record.Version_ = Incarnation(Case.SecondVersion_);
  Fleet.announce(0, Record);
  EXPECT_EQ(Fleet.Recorder_.Answers_.back().IsAccepted_, Case.IsAccepted_);
  EXPECT_EQ(Fleet.countDaemonsKnowing(Record.Id_, Case.Expected_), 1U);
}

constexpr auto Serving = InstanceState::Serving;
constexpr auto Draining = InstanceState::Draining;
constexpr auto Left = InstanceState::Left;

INSTANTIATE_TEST_SUITE_P(
    Orders, AnnouncementOrderTest,
    testing::Values(
        OrderCase{"Repeated", Serving, 1, Serving, 1, true, Serving},
        OrderCase{"Drains", Serving, 1, Draining, 1, true, Draining},
        OrderCase{"DrainIsNotUndone", Draining, 1, Serving, 1, false, Draining},
        OrderCase{"Leaves", Draining, 2, Left, 2, true, Left},
        OrderCase{"OldRunAfterLeave", Left, 2, Serving, 1, false, Left},
        OrderCase{"NewRunAfterLeave", Left, 2, Serving, 3, true, Serving}),
    CaseName());

} // namespace
} // namespace jaybridge
