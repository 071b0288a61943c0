#include "RegistryFleet.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

InstanceRecord instance(std::uint64_t StartIncarnation) {
  return InstanceRecord{InstanceId("i"),
                        ServiceName("s}"),
                        Endpoint::create("10.5.0.1:80").takeValue(),
                        FailureDomain("d"),
                        SlotCount(4),
                        InstanceState::Serving,
                        Incarnation(StartIncarnation)};
}

/// All members restart, and a request reaches the new leader before the entries
/// of its log are committed again.
class UnappliedLogTest : public testing::Test {
protected:
  void SetUp() override {
    Fleet_.run(8s);
    ASSERT_LT(Fleet_.leader(), MemberCount);
    Fleet_.writeDocument(Fleet_.leader(), 3, RegistryFleet::routes("s"));
    Fleet_.announce(Fleet_.leader(), instance(5));
    Fleet_.run(300ms);
  }
  void restartMembers() {
    for (std::size_t Index = 0; Index < MemberCount; ++Index)
      Fleet_.stopMember(Index);
    for (std::size_t Index = 0; Index < MemberCount; ++Index)
      Fleet_.startMember(Index);
    while (Fleet_.leader() == MemberCount)
      Fleet_.run(RegistryFleet::TimeStep);
  }

  static constexpr std::size_t MemberCount = 5;
  static constexpr std::size_t GatewayCount = 4;
  RegistryFleet Fleet_{MemberCount, GatewayCount};
};

struct EqualVersionCase {
  const char *Name_;
  std::string OtherService_;
};

class EqualVersionTest : public UnappliedLogTest,
                         public testing::WithParamInterface<EqualVersionCase> {
};

// Guards against a configuration that is spliced from two documents: a change
// whose version is in the log already must not become the base of the next one.
TEST_P(EqualVersionTest, IsNotTheBaseOfTheNextChange) {
  Fleet_.writeDocument(Fleet_.leader(), 4, RegistryFleet::routes("first"));
  Fleet_.run(300ms);
  restartMembers();
  auto Raced = Fleet_.writeDocument(
      Fleet_.leader(), 4, RegistryFleet::routes(GetParam().OtherService_));
  Fleet_.run(500ms);
  EXPECT_TRUE(Fleet_.hasAnswer<Acknowledged>(Raced));
  const std::string Next = RegistryFleet::routes("second");
  auto Changed = Fleet_.writeDocument(Fleet_.leader(), 5, Next);
  Fleet_.run(500ms);
  ASSERT_TRUE(Fleet_.hasAnswer<Acknowledged>(Changed));
  auto Read = Fleet_.readDocument(Fleet_.leader());
  Fleet_.run(100ms);
  ASSERT_TRUE(Fleet_.hasAnswer<StoredDocument>(Read));
  EXPECT_EQ(std::get<StoredDocument>(*Fleet_.answer(Read)).Text_, "5" + Next);
}

INSTANTIATE_TEST_SUITE_P(Contents, EqualVersionTest,
                         testing::Values(EqualVersionCase{"Same", "first"},
                                         EqualVersionCase{"Shorter", "x"},
                                         EqualVersionCase{
                                             "Longer", "a-much-longer-name"}),
                         CaseName());

struct DepartureCase {
  const char *Name_;
  /// Another start of the instance is the last entry of the log.
  bool HasRestarted_;
};

class DepartureTest : public UnappliedLogTest,
                      public testing::WithParamInterface<DepartureCase> {};

// Guards against a departure that is acknowledged because the leader does not
// know the instance, or knows only an earlier start of it, and that the log
// undoes afterwards.
TEST_P(DepartureTest, RemovesAnInstanceThatOnlyTheLogKnows) {
  if (GetParam().HasRestarted_) {
    Fleet_.announce(Fleet_.leader(), instance(6));
    Fleet_.run(300ms);
  }
  restartMembers();
  auto Departed = Fleet_.depart(Fleet_.leader(), InstanceId("i"));
  Fleet_.run(2s);
  ASSERT_TRUE(Fleet_.hasAnswer<Acknowledged>(Departed));
  for (std::size_t Index = 0; Index < GatewayCount; ++Index)
    EXPECT_EQ(Fleet_.view(Index).Instances_.at(InstanceId("i")),
              InstanceState::Left)
        << "gateway " << Index;
}

INSTANTIATE_TEST_SUITE_P(Starts, DepartureTest,
                         testing::Values(DepartureCase{"Registered", false},
                                         DepartureCase{"RestartedUnderItsId",
                                                       true}),
                         CaseName());

// Guards against a departure that overtakes the announcement of the same
// instance, whose entry is not committed yet.
TEST_F(UnappliedLogTest, DepartureFollowsAnAnnouncementInProgress) {
  InstanceRecord Added = instance(7);
  Added.Id_ = InstanceId("added");
  Added.Address_ = Endpoint::create("10.5.0.2:80").takeValue();
  Fleet_.announce(Fleet_.leader(), Added);
  auto Departed = Fleet_.depart(Fleet_.leader(), Added.Id_);
  Fleet_.run(2s);
  ASSERT_TRUE(Fleet_.hasAnswer<Acknowledged>(Departed));
  EXPECT_EQ(Fleet_.control(Fleet_.leader())->registry().find(Added.Id_),
            nullptr);
}

// Guards against gateways that take their configuration from a member that has
// restarted and still receives the entries it missed.
TEST_F(UnappliedLogTest, MemberServesNoGatewayBeforeItHasCaughtUp) {
  constexpr std::uint64_t LastVersion = 120;
  constexpr std::size_t AddedGateways = 6;
  const std::size_t Stopped = Fleet_.leader() == 0 ? 1 : 0;
  Fleet_.stopMember(Stopped);
  // Whole documents, so that the entries need many messages.
  for (std::uint64_t Version = 4; Version <= LastVersion; ++Version) {
    const std::string Service = "v" + std::to_string(Version);
    std::string Text;
    for (int Route = 0; Route < 300; ++Route) {
      Text.append(" ").append(Service).append("-");
      Text.append(std::to_string(Route)).append(".example ").append(Service);
    }
    Fleet_.writeDocument(Fleet_.leader(), Version, Text);
    Fleet_.run(20ms);
  }
  Fleet_.run(300ms);
  Fleet_.startMember(Stopped);
  for (std::size_t Added = 0; Added < AddedGateways; ++Added)
    Fleet_.addGateway();
  for (int Step = 0; Step < 200; ++Step) {
    Fleet_.run(RegistryFleet::TimeStep);
    for (std::size_t Index = 0; Index < GatewayCount + AddedGateways; ++Index)
      ASSERT_TRUE(!Fleet_.view(Index).FollowedMember_ ||
                  Fleet_.view(Index).Version_ ==
                      ConfigurationVersion(LastVersion))
          << "gateway " << Index << " has version "
          << Fleet_.view(Index).Version_.value();
  }
  for (std::size_t Index = 0; Index < GatewayCount + AddedGateways; ++Index)
    EXPECT_TRUE(Fleet_.view(Index).FollowedMember_) << "gateway " << Index;
}

} // namespace
} // namespace jaybridge
