#include "RegistryFleet.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

std::vector<InstanceId> idsOf(const std::vector<const char *> &Texts) {
  std::vector<InstanceId> Ids;
  Ids.reserve(Texts.size());
  for (const char *Text : Texts)
    Ids.emplace_back(Text);
  return Ids;
}

EjectionSet setOf(const std::vector<const char *> &Texts) {
  EjectionSet Set;
  Set.assign(idsOf(Texts));
  return Set;
}

struct FollowCase {
  const char *Name_;
  std::vector<const char *> Copy_;
  std::vector<const char *> Earlier_;
  std::vector<const char *> Latest_;
  bool IsFollowed_;
};

class EjectionSetTest : public testing::TestWithParam<FollowCase> {};

// Guards against copies of the list that differ from it after a message was
// lost, repeated or sent by another member.
TEST_P(EjectionSetTest, FollowsOnlyChangesThatFit) {
  EjectionSet Copy = setOf(GetParam().Copy_);
  const EjectionSet Latest = setOf(GetParam().Latest_);
  EXPECT_EQ(Copy.apply(Latest.changeFrom(setOf(GetParam().Earlier_))),
            GetParam().IsFollowed_);
  if (GetParam().IsFollowed_) {
    EXPECT_EQ(Copy.instances(), Latest.instances());
  }
  EXPECT_TRUE(Copy.apply(Latest.whole()));
  EXPECT_EQ(Copy.instances(), Latest.instances());
}

INSTANTIATE_TEST_SUITE_P(
    Copies, EjectionSetTest,
    testing::Values(
        FollowCase{"Next", {"a", "b"}, {"a", "b"}, {"b", "c"}, true},
        FollowCase{"Repeated", {"b", "c"}, {"a", "b"}, {"b", "c"}, true},
        FollowCase{"Unchanged", {"a"}, {"a"}, {"a"}, true},
        FollowCase{"Last", {"a"}, {"a"}, {}, true},
        FollowCase{"Missed", {"a"}, {"a", "b"}, {"b", "c"}, false},
        FollowCase{"Empty", {}, {"a"}, {"a", "b"}, false}),
    CaseName());

// Guards against a copy that counts as current although it is not.
TEST(EjectionSet, RejectsAChangeWithAnotherResult) {
  EjectionSet Copy = setOf({"a"});
  EjectionChange Wrong = setOf({"a", "b"}).changeFrom(Copy);
  Wrong.Added_ = idsOf({"c"});
  EXPECT_FALSE(Copy.apply(Wrong));
  EXPECT_TRUE(Copy.instances().empty());
}

// Guards against heartbeats that grow with the number of ejected instances: at
// 277 gateways they were sent up to ten times a second with all ids.
TEST(EjectionSet, CostsAFewBytesAtRest) {
  std::vector<InstanceId> Many;
  for (int Number = 100; Number < 300; ++Number)
    Many.emplace_back("i-00000" + std::to_string(Number));
  EjectionSet Set;
  Set.assign(Many);
  RegistryHeartbeat Heartbeat;
  Heartbeat.Ejections_ = Set.changeFrom(Set);
  constexpr std::size_t MaxBytes = 32;
  EXPECT_LE(encodeSubscriptionMessage(Heartbeat).size(), MaxBytes);
}

class EjectionFleetTest : public testing::Test {
protected:
  static constexpr std::size_t GatewayCount = 4;
  static constexpr std::size_t InstanceCount = 10;

  EjectionFleetTest() {
    Fleet_.electAndAnnounce(record(0));
    for (std::size_t Number = 1; Number < InstanceCount; ++Number)
      Fleet_.announce(Fleet_.leader(), record(Number));
    Fleet_.run(8s);
  }
  static InstanceRecord record(std::size_t Number) {
    return InstanceRecord{
        InstanceId("i" + std::to_string(Number)),
        Service,
        Endpoint::create("10.5.0." + std::to_string(Number + 1) + ":80")
            .takeValue(),
        FailureDomain("d0"),
        SlotCount(4),
        InstanceState::Serving,
        Incarnation(5)};
  }
  void lose(std::size_t Gateway, std::size_t Number) {
    ReportAttempt Lost;
    Lost.Service_ = Service;
    Lost.Instance_ = record(Number).Id_;
    Lost.Result_ = AttemptResult::ConnectionLost;
    Fleet_.finishAttempt(Gateway, Lost);
  }
  MemberId followedMember(std::size_t Gateway) const {
    return *Fleet_.view(Gateway).FollowedMember_;
  }
  void expectEjected(const std::vector<const char *> &Expected) {
    for (std::size_t Gateway = 0; Gateway < GatewayCount; ++Gateway)
      EXPECT_EQ(Fleet_.view(Gateway).Ejected_.at(Service), idsOf(Expected))
          << "gateway " << Gateway;
  }
  static const inline ServiceName Service{"s"};
  RegistryFleet Fleet_{5, GatewayCount};
};

// Guards against gateways of different members that differ in the instances
// that they avoid.
TEST_F(EjectionFleetTest, ReachesEachGatewayAsItGrows) {
  lose(0, 1);
  Fleet_.run(600ms);
  expectEjected({"i1"});
  lose(1, 2);
  Fleet_.run(600ms);
  expectEjected({"i1", "i2"});
}

// Guards against lists that stay wrong after a member missed a change or a
// gateway switched to another member.
TEST_F(EjectionFleetTest, IsMadeUpForAfterACut) {
  const MemberId Leader = RegistryFleet::member(Fleet_.leader());
  // A member with a gateway, and a gateway of another member.
  std::size_t CutGateway = 0;
  while (followedMember(CutGateway) == Leader)
    ++CutGateway;
  const MemberId Cut = followedMember(CutGateway);
  std::size_t Reporter = 0;
  while (followedMember(Reporter) == Cut)
    ++Reporter;
  Fleet_.setPartitioned(Leader, Cut, true);
  lose(Reporter, 1);
  Fleet_.run(700ms);
  Fleet_.setPartitioned(Leader, Cut, false);
  lose(Reporter, 2);
  // Less than an ejection lasts.
  Fleet_.run(1200ms);
  expectEjected({"i1", "i2"});
}

} // namespace
} // namespace jaybridge
