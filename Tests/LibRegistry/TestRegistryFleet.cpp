#include "RegistryFleet.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

const std::string Document = " a.example s\n b.example t\n";

InstanceRecord instance(InstanceState State = InstanceState::Serving) {
  return InstanceRecord{InstanceId("i"),
                        ServiceName("s"),
                        Endpoint::create("10.5.0.1:80").takeValue(),
                        FailureDomain("d"),
                        SlotCount(4),
                        State,
                        Incarnation(5)};
}

struct SizeCase {
  const char *Name_;
  std::size_t Members_;
};

class FormationTest : public testing::TestWithParam<SizeCase> {};

// Guards against members beyond the seeds that never vote, and against a leader
// that proposes a refused change of voters again and again without end.
TEST_P(FormationTest, TakesInAllMembersOfTheFirstStart) {
  RegistryFleet Fleet(GetParam().Members_, 2);
  Fleet.run(12s);
  ASSERT_LT(Fleet.leader(), GetParam().Members_);
  EXPECT_EQ(Fleet.voterCount(), GetParam().Members_);
}

INSTANTIATE_TEST_SUITE_P(Sizes, FormationTest,
                         testing::Values(SizeCase{"Three", 3},
                                         SizeCase{"Five", 5},
                                         SizeCase{"Eleven", 11}),
                         CaseName());

// Guards against gateways that follow a member of another domain for ever: they
// were told of the members once, before anybody knew the members' domains.
TEST(RegistryFleetDomains, LetsEachGatewayFollowAMemberOfItsDomain) {
  constexpr std::size_t Size = 5;
  constexpr std::size_t Gateways = 6;
  RegistryFleet Fleet(Size, Gateways);
  Fleet.formWith(instance());
  Fleet.run(10s);
  for (std::size_t Index = 0; Index < Gateways; ++Index) {
    bool IsNear = false;
    for (std::size_t Member = 0; Member < Size; ++Member)
      IsNear = IsNear ||
               (Fleet.view(Index).Contact_ == RegistryFleet::member(Member) &&
                RegistryFleet::domain(Member) == RegistryFleet::domain(Index));
    EXPECT_TRUE(IsNear) << "gateway " << Index;
  }
}

// Guards against gateways that stay with members on the lesser side of a split,
// or go from one to the next in silence, for longer than an acknowledged
// departure may take to bind them: giliran-sel-grown scale-1 (seed
// 969156756926) broke two rules when the four members of a domain were cut off.
TEST(RegistryFleetDomains, FindTheMajorityAfterASplitWithinTwoSeconds) {
  constexpr std::size_t Size = 11;
  constexpr std::size_t Gateways = 6;
  RegistryFleet Fleet(Size, Gateways);
  Fleet.formWith(instance());
  Fleet.run(12s);
  ASSERT_EQ(Fleet.voterCount(), Size);
  // All members of a domain that does not lead.
  const std::size_t Lost = (Fleet.leader() + 1) % RegistryFleet::Domains;
  std::set<std::size_t> Lesser;
  for (std::size_t Index = Lost; Index < Size; Index += RegistryFleet::Domains)
    Lesser.insert(Index);
  for (std::size_t Index = 0; Index < Size; ++Index)
    for (std::size_t Other : Lesser)
      if (!Lesser.contains(Index))
        Fleet.setCut(RegistryFleet::member(Index), RegistryFleet::member(Other),
                     true);
  Fleet.run(100ms);
  auto Drained =
      Fleet.announce(Fleet.leader(), instance(InstanceState::Draining));
  Fleet.run(200ms);
  ASSERT_TRUE(Fleet.isAnswered<Acknowledged>(Drained));
  Fleet.run(1500ms);
  for (std::size_t Index = 0; Index < Gateways; ++Index)
    EXPECT_EQ(Fleet.view(Index).Instances_.at(InstanceId("i")),
              InstanceState::Draining)
        << "gateway " << Index;
}

class RegistryFleetTest : public testing::Test {
protected:
  void SetUp() override {
    Fleet_.run(8s);
    ASSERT_LT(Fleet_.leader(), Size);
    auto Stored = Fleet_.offer(Fleet_.leader(), 3, Document);
    Fleet_.run(100ms);
    ASSERT_TRUE(Fleet_.isAnswered<Acknowledged>(Stored));
    auto Known = Fleet_.announce(Fleet_.leader(), instance());
    // Followers learn of a commit with the leader's next heartbeat.
    Fleet_.run(300ms);
    ASSERT_TRUE(Fleet_.isAnswered<Acknowledged>(Known));
  }
  std::size_t follower() const { return Fleet_.leader() == 0 ? 1 : 0; }
  void cutOff(std::size_t Member, bool IsCut) {
    for (std::size_t Other = 0; Other < Size; ++Other)
      if (Other != Member)
        Fleet_.setCut(RegistryFleet::member(Member),
                      RegistryFleet::member(Other), IsCut);
  }

  static constexpr std::size_t Size = 5;
  static constexpr std::size_t Gateways = 4;
  RegistryFleet Fleet_{Size, Gateways};
};

// Guards against gateways that never learn a configuration or an instance.
TEST_F(RegistryFleetTest, TellsEachGateway) {
  for (std::size_t Index = 0; Index < Gateways; ++Index) {
    EXPECT_EQ(Fleet_.view(Index).Version_, ConfigurationVersion(3));
    EXPECT_EQ(Fleet_.view(Index).Instances_.at(InstanceId("i")),
              InstanceState::Serving);
  }
}

// Guards against an acknowledged departure that gateways do not learn, also
// when the member that a gateway follows is cut off from the others.
TEST_F(RegistryFleetTest, BindsAllGatewaysToAnAcknowledgedDeparture) {
  std::size_t Lost = follower();
  cutOff(Lost, true);
  Fleet_.run(50ms);
  auto Drained =
      Fleet_.announce(Fleet_.leader(), instance(InstanceState::Draining));
  Fleet_.run(100ms);
  ASSERT_TRUE(Fleet_.isAnswered<Acknowledged>(Drained));
  Fleet_.run(2500ms);
  for (std::size_t Index = 0; Index < Gateways; ++Index) {
    EXPECT_NE(Fleet_.view(Index).Contact_, RegistryFleet::member(Lost));
    EXPECT_EQ(Fleet_.view(Index).Instances_.at(InstanceId("i")),
              InstanceState::Draining);
  }
}

// Guards against an acknowledgement by a member that nobody else hears.
TEST_F(RegistryFleetTest, AcknowledgesNothingWithoutAMajority) {
  std::size_t Leader = Fleet_.leader();
  cutOff(Leader, true);
  auto Drained = Fleet_.announce(Leader, instance(InstanceState::Draining));
  auto Changed = Fleet_.offer(Leader, 4, Document);
  auto Read = Fleet_.ask(Leader);
  Fleet_.run(3s);
  for (ControlRequestId Query : {Drained, Changed, Read})
    EXPECT_TRUE(Fleet_.isAnswered<NotAvailable>(Query));
}

// Guards against members that answer reads or take changes on their own.
TEST_F(RegistryFleetTest, RefersToTheLeader) {
  auto Read = Fleet_.ask(follower());
  auto Changed = Fleet_.offer(follower(), 4, Document);
  auto Drained = Fleet_.announce(follower(), instance(InstanceState::Draining));
  auto Repeated = Fleet_.announce(follower(), instance());
  for (ControlRequestId Query : {Read, Changed, Drained})
    EXPECT_TRUE(Fleet_.isAnswered<RedirectToLeader>(Query));
  EXPECT_TRUE(Fleet_.isAnswered<Acknowledged>(Repeated))
      << "announcements that change nothing need no leader";
}

// Guards against an older version that is taken for a change, and against a
// resend that is refused.
TEST_F(RegistryFleetTest, AcknowledgesVersionsThatAreNotHigher) {
  auto Resent = Fleet_.offer(Fleet_.leader(), 3, Document);
  auto Older = Fleet_.offer(Fleet_.leader(), 2, " x.example u\n");
  auto Read = Fleet_.ask(Fleet_.leader());
  Fleet_.run(100ms);
  EXPECT_TRUE(Fleet_.isAnswered<Acknowledged>(Resent));
  EXPECT_TRUE(Fleet_.isAnswered<Acknowledged>(Older));
  ASSERT_TRUE(Fleet_.isAnswered<StoredDocument>(Read));
  EXPECT_EQ(std::get<StoredDocument>(*Fleet_.answerOf(Read)).Version_,
            ConfigurationVersion(3));
}

// Guards against racing changes of which the lower one wins or is never
// answered: each is proposed as a delta while the one before is under way.
TEST_F(RegistryFleetTest, KeepsTheHighestOfChangesUnderWay) {
  std::string Long = Document;
  for (int Index = 0; Index < 50; ++Index)
    Long += " h" + std::to_string(Index) + ".example s}\n";
  const auto &Log = Fleet_.control(Fleet_.leader())->log();
  const LogIndex Before = Log.commitIndex();
  auto First = Fleet_.offer(Fleet_.leader(), 9, Long);
  auto Second = Fleet_.offer(Fleet_.leader(), 8, Long);
  auto Third = Fleet_.offer(Fleet_.leader(), 12, Long);
  Fleet_.run(400ms);
  for (ControlRequestId Query : {First, Second, Third})
    EXPECT_TRUE(Fleet_.isAnswered<Acknowledged>(Query));
  for (std::size_t Index = 0; Index < Gateways; ++Index)
    EXPECT_EQ(Fleet_.view(Index).Version_, ConfigurationVersion(12));
  EXPECT_EQ(Log.commitIndex().value(), Before.value() + 2)
      << "the change that was overtaken needs no entry";
}

// Guards against a configuration that is lost when all members stop, or with
// the disk of one of them.
TEST_F(RegistryFleetTest, KeepsWhatItAcknowledgedOverRestarts) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    Fleet_.stopMember(Index);
  Fleet_.loseFolder(2);
  for (std::size_t Index = 0; Index < Size; ++Index)
    Fleet_.startMember(Index);
  Fleet_.run(6s);
  ASSERT_LT(Fleet_.leader(), Size);
  auto Read = Fleet_.ask(Fleet_.leader());
  Fleet_.run(100ms);
  ASSERT_TRUE(Fleet_.isAnswered<StoredDocument>(Read));
  EXPECT_EQ(Fleet_.voterCount(), Size);
  EXPECT_TRUE(Fleet_.control(2)->log().isVoter());
}

// Guards against a group that shrinks with each replaced machine: a member at a
// new address takes the place of the one that is gone.
TEST_F(RegistryFleetTest, ReplacesAMemberThatIsGone) {
  std::size_t Gone = Fleet_.leader();
  Fleet_.stopMember(Gone);
  Fleet_.run(1s);
  std::size_t Added = Fleet_.addMember();
  Fleet_.startMember(Added);
  Fleet_.run(10s);
  ASSERT_LT(Fleet_.leader(), Size + 1);
  EXPECT_EQ(Fleet_.voterCount(), Size);
  EXPECT_TRUE(Fleet_.control(Added)->log().isVoter());
}

} // namespace
} // namespace jaybridge
