#include "RegistryFleet.h"

#include <Support/CaseName.h>

#include <functional>

namespace jaybridge {
namespace {

struct RejectedCase {
  const char *Name_;
  /// What follows version 4 with the text "4 a.example s}".
  std::optional<StoredDocument> Document_;
  std::optional<DocumentDelta> Delta_;
  /// The gateway asks for the whole registry, to get the whole document.
  bool IsRepairable_;
};

class RejectedDocumentTest : public testing::TestWithParam<RejectedCase> {};

// Guards against gateways that end when a configuration which they receive
// cannot be read, or does not fit the present one. This ended all gateways at
// once, and again after each start.
TEST_P(RejectedDocumentTest, LeavesThePreviousOneInForce) {
  const MemberId Member("10.0.0.1:7000");
  RegistrySubscriptionSettings Settings;
  Settings.Self_ = Endpoint::create("10.9.0.1:7000").takeValue();
  Settings.Seeds_ = {Member};
  RegistrySubscription Subscription(std::move(Settings), RandomSeed(1));
  std::vector<RegistrySubscriptionEffect> Effects;
  TimePoint Now{1h};
  auto Count = [&]<typename Effect>(std::type_identity<Effect>) {
    return std::count_if(Effects.begin(), Effects.end(), [](const auto &Each) {
      return std::holds_alternative<Effect>(Each);
    });
  };
  auto Receive = [&](RegistryUpdate Update) {
    Now += 1s;
    Effects.clear();
    Subscription.handle(SubscriptionReceived{Member, std::move(Update)}, Now,
                        Effects);
    answerReads(Subscription, Now, Effects);
  };
  RegistryUpdate First;
  First.Revision_ = LogIndex(7);
  First.Document_ = StoredDocument{ConfigurationVersion(4), "4 a.example s}"};
  Receive(First);
  ASSERT_EQ(Count(std::type_identity<RoutingChanged>{}), 1);
  RegistryUpdate Second;
  Second.BaseRevision_ = LogIndex(7);
  Second.Revision_ = LogIndex(8);
  Second.Document_ = GetParam().Document_;
  Second.Delta_ = GetParam().Delta_;
  Receive(Second);
  EXPECT_EQ(Count(std::type_identity<RoutingChanged>{}), 0);
  EXPECT_EQ(Count(std::type_identity<DocumentRejected>{}), 1);
  bool IsFullUpdateRequested = false;
  for (const RegistrySubscriptionEffect &Each : Effects)
    if (const auto *Sent = std::get_if<SendSubscription>(&Each))
      if (const auto *Request = std::get_if<SubscribeRequest>(&Sent->Message_))
        IsFullUpdateRequested = Request->Revision_ == LogIndex();
  EXPECT_EQ(IsFullUpdateRequested, GetParam().IsRepairable_);
  RegistryUpdate Repaired;
  Repaired.Revision_ = LogIndex(9);
  Repaired.Document_ = StoredDocument{ConfigurationVersion(6), "6 b.example s"};
  Receive(Repaired);
  EXPECT_EQ(Count(std::type_identity<RoutingChanged>{}), 1);
}

DocumentDelta delta(std::uint64_t Base, DocumentDigest Result) {
  return {ConfigurationVersion(Base),
          ConfigurationVersion(5),
          {CopyRange{1, 13}},
          Result};
}

INSTANTIATE_TEST_SUITE_P(
    Contents, RejectedDocumentTest,
    testing::Values(RejectedCase{"TwoRoutesWithOneHost",
                                 StoredDocument{ConfigurationVersion(5),
                                                "5 a.example s a.example t"},
                                 std::nullopt, false},
                    RejectedCase{"DeltaOfAnotherVersion", std::nullopt,
                                 delta(3, DocumentDigest()), true},
                    RejectedCase{"DeltaOfAnotherText", std::nullopt,
                                 delta(4, DocumentDigest(1)), true}),
    CaseName());

// Guards against a confirmation that reaches the gateway before the document of
// the same update: it then refuses keys and routes that the document has.
TEST(RegistrySubscriptionTest, ConfirmsTheMemberAfterItsDocument) {
  const MemberId Member("10.0.0.1:7000");
  RegistrySubscriptionSettings Settings;
  Settings.Self_ = Endpoint::create("10.9.0.1:7000").takeValue();
  Settings.Seeds_ = {Member};
  RegistrySubscription Subscription(std::move(Settings), RandomSeed(1));
  RegistryUpdate Update;
  Update.Revision_ = LogIndex(7);
  Update.Document_ = StoredDocument{ConfigurationVersion(4), "4 a.example s"};
  std::vector<RegistrySubscriptionEffect> Effects;
  Subscription.handle(SubscriptionReceived{Member, Update}, TimePoint{1h},
                      Effects);
  answerReads(Subscription, TimePoint{1h}, Effects);
  ASSERT_FALSE(Effects.empty());
  const auto *Confirmed = std::get_if<ControlMemberChanged>(&Effects.back());
  ASSERT_NE(Confirmed, nullptr);
  EXPECT_EQ(Confirmed->Member_, Member);
  EXPECT_TRUE(std::any_of(Effects.begin(), Effects.end(), [](const auto &Each) {
    return std::holds_alternative<RoutingChanged>(Each);
  }));
}

const MemberId Followed("10.0.0.1:7000");

/// A subscription that has version 4 in force, and receives version 5.
struct ReadingGateway {
  RegistrySubscription Subscription_;
  std::vector<RegistrySubscriptionEffect> Effects_;
  TimePoint Now_{1h};

  ReadingGateway() : Subscription_(settings(), RandomSeed(1)) {
    receive(update(std::nullopt, 7, 4));
    answerReads(Subscription_, Now_, Effects_);
    receive(update(7, 8, 5));
  }
  static RegistrySubscriptionSettings settings() {
    RegistrySubscriptionSettings Settings;
    Settings.Self_ = Endpoint::create("10.9.0.1:7000").takeValue();
    Settings.Seeds_ = {Followed};
    return Settings;
  }
  static RegistryUpdate update(std::optional<std::uint64_t> Base,
                               std::uint64_t Revision, std::uint64_t Version) {
    RegistryUpdate Update;
    if (Base)
      Update.BaseRevision_ = LogIndex(*Base);
    Update.Revision_ = LogIndex(Revision);
    Update.Document_ = StoredDocument{ConfigurationVersion(Version),
                                      std::to_string(Version) + " a.example s"};
    return Update;
  }
  void receive(SubscriptionMessage Message) {
    Effects_.clear();
    Subscription_.handle(SubscriptionReceived{Followed, std::move(Message)},
                         Now_, Effects_);
  }
  template <typename Effect> std::vector<Effect> take() const {
    std::vector<Effect> Taken;
    for (const RegistrySubscriptionEffect &Each : Effects_)
      if (const auto *Found = std::get_if<Effect>(&Each))
        Taken.push_back(*Found);
    return Taken;
  }
};

struct WhileReadingCase {
  const char *Name_;
  SubscriptionMessage Message_;
  std::function<bool(const ReadingGateway &)> IsPassedOn_;
};

class WhileReadingTest : public testing::TestWithParam<WhileReadingCase> {};

// Guards against departures, limits and retries that wait until a configuration
// has been read.
TEST_P(WhileReadingTest, PassesOnUrgentMessages) {
  ReadingGateway Gateway;
  ASSERT_EQ(Gateway.take<ReadDocument>().size(), 1U);
  Gateway.receive(GetParam().Message_);
  EXPECT_TRUE(GetParam().IsPassedOn_(Gateway));
}

RegistryUpdate departure() {
  RegistryUpdate Update;
  Update.BaseRevision_ = LogIndex(8);
  Update.Revision_ = LogIndex(9);
  InstanceRecord Left;
  Left.Id_ = InstanceId("i1");
  Left.State_ = InstanceState::Draining;
  Update.Instances_ = {Left};
  return Update;
}

INSTANTIATE_TEST_SUITE_P(
    Messages, WhileReadingTest,
    testing::Values(
        WhileReadingCase{"Departure", departure(),
                         [](const ReadingGateway &Gateway) {
                           return Gateway.take<InstanceChanged>().size() == 1;
                         }},
        WhileReadingCase{"Limits", TokenGrant{},
                         [](const ReadingGateway &Gateway) {
                           return Gateway.take<TokensGranted>().size() == 1;
                         }}),
    CaseName());

// Guards against gateways that read every version of a quick succession and
// fall ever further behind.
TEST(RegistrySubscriptionTest, SkipsVersionsThatALaterOneHasOvertaken) {
  ReadingGateway Gateway;
  const std::vector<ReadDocument> First = Gateway.take<ReadDocument>();
  ASSERT_EQ(First.size(), 1U);
  for (std::uint64_t Later = 0; Later < 10; ++Later) {
    Gateway.receive(ReadingGateway::update(8 + Later, 9 + Later, 6 + Later));
    EXPECT_TRUE(Gateway.take<ReadDocument>().empty());
  }
  Gateway.Effects_.assign({First.front()});
  answerReads(Gateway.Subscription_, Gateway.Now_, Gateway.Effects_);
  const std::vector<ReadDocument> Read = Gateway.take<ReadDocument>();
  ASSERT_EQ(Read.size(), 2U);
  EXPECT_EQ(Read.back().Document_.Version_, ConfigurationVersion(15));
}

// Guards against members that send the whole configuration to each gateway
// whose renewal crosses a change. It occupied the leader of a large fleet for a
// second, in which more renewals crossed.
TEST(RegistrySubscriptionTest, ARenewalThatCrossesAChangeGetsNoDocument) {
  constexpr std::size_t Gateways = 20;
  constexpr std::uint64_t Changes = 200;
  RegistryFleet Fleet(3, Gateways);
  while (Fleet.leader() == 3)
    Fleet.run(100ms);
  Fleet.writeDocument(Fleet.leader(), 1, RegistryFleet::routes("s"));
  Fleet.run(3s);
  const std::size_t Before = Fleet.wholeDocumentCount();
  for (std::uint64_t Change = 0; Change < Changes; ++Change) {
    Fleet.writeDocument(Fleet.leader(), 2 + Change,
                        RegistryFleet::routes("s" + std::to_string(Change)));
    Fleet.run(50ms);
  }
  Fleet.run(2s);
  for (std::size_t Index = 0; Index < Gateways; ++Index)
    EXPECT_EQ(Fleet.view(Index).Version_, ConfigurationVersion(1 + Changes));
  EXPECT_EQ(Fleet.wholeDocumentCount(), Before);
}

} // namespace
} // namespace jaybridge
