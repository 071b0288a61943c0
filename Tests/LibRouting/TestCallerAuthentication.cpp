#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

/// A table with the private route "/p/", the public route "/open/" and, for
/// each key, a team of the same name. The team "urgent" has priority 0; the
/// routes have priority 5.
RoutingChanged makeTable(ConfigurationVersion Version,
                         const std::vector<std::string> &Keys) {
  RoutingDraft Draft;
  Draft.Version_ = Version;
  Draft.Services_ = {ServiceDefinition{ServiceName("s"), "/health"}};
  for (const char *Prefix : {"/p/", "/open/"}) {
    RouteDraft Route;
    Route.Name_ = RouteName(Prefix);
    Route.Host_ = HostName("a.example");
    Route.Prefix_ = Prefix;
    Route.WeightedServices_ = {WeightedService{ServiceName("s")}};
    Route.Patience_ = 20s;
    Route.Priority_ = RoutePriority(5);
    Route.IsPublic_ = std::string(Prefix) == "/open/";
    Draft.Routes_.push_back(std::move(Route));
  }
  for (const std::string &Key : Keys) {
    TeamDraft Team;
    Team.Name_ = TeamName(Key);
    Team.Keys_.emplace_back(Key);
    if (Key == "urgent")
      Team.Priority_ = RoutePriority(0);
    Draft.Teams_.push_back(std::move(Team));
  }
  return RoutingChanged{std::make_shared<const RoutingTable>(
      RoutingTable::create(std::move(Draft)).takeValue())};
}

class CallerAuthenticationTest : public testing::Test {
protected:
  CallerAuthenticationTest() {
    Harness_.handle(InstanceChanged{makeInstance("i", "s", SlotCount(1))});
  }
  void request(const std::string &Target, const std::string &Key) {
    auto Received = std::make_shared<Request>();
    Received->Id_ = RequestId("q" + std::to_string(++Requests_));
    Received->Authority_ = "a.example";
    Received->Target_ = Target;
    Received->IdentityHeaders_ = {{"Tenant", "claimed"}};
    if (!Key.empty()) {
      Received->Credential_.emplace(Key);
      Received->IdentityHeaders_.push_back({"Authorization", "Bearer " + Key});
    }
    Harness_.handle(RequestReceived{std::move(Received), false});
  }
  /// The reason of the refusal; none if the request was not refused.
  std::optional<RefusalReason> reason() const {
    const Refusal *Refused = Harness_.refusal();
    return Refused ? std::optional(Refused->Reason_) : std::nullopt;
  }

  GatewayHarness Harness_{makeProfile(Repeatability::Repeatable), 0};
  int Requests_ = 0;
};

struct CallerCase {
  const char *Name_;
  std::string Target_;
  std::string Key_;
  /// Empty if the request is sent without a team.
  std::string Team_;
  std::optional<RefusalReason> Reason_;
};

class CallerTest : public CallerAuthenticationTest,
                   public testing::WithParamInterface<CallerCase> {};

// Guards against serving a request without a known key, against sending a key
// or the caller's own team to an instance, and against a refusal that is not
// certain or shows the key.
TEST_P(CallerTest, IsIdentifiedByItsKey) {
  Harness_.handle(makeTable(ConfigurationVersion(2), {"known", "urgent"}));
  request(GetParam().Target_, GetParam().Key_);
  ASSERT_EQ(reason(), GetParam().Reason_);
  if (const Refusal *Refused = Harness_.refusal()) {
    EXPECT_EQ(Refused->Outcome_, Outcome::NotRun);
    EXPECT_EQ(statusOf(*Refused), StatusCode(401));
    EXPECT_EQ(Refused->Detail_, "");
    EXPECT_EQ(Harness_.last<SendAttempt>(), nullptr);
    return;
  }
  const auto *Sent = Harness_.last<SendAttempt>();
  ASSERT_NE(Sent, nullptr);
  EXPECT_EQ(Sent->Request_->Team_.value_or(TeamName()).text(),
            GetParam().Team_);
  EXPECT_TRUE(Sent->Request_->Headers_.empty());
  EXPECT_TRUE(Sent->Request_->IdentityHeaders_.empty());
  EXPECT_FALSE(Sent->Request_->Credential_);
}

constexpr auto Unauthorized = RefusalReason::Unauthorized;

INSTANTIATE_TEST_SUITE_P(
    Keys, CallerTest,
    testing::Values(CallerCase{"Known", "/p/x", "known", "known", std::nullopt},
                    CallerCase{"Unknown", "/p/x", "other", "", Unauthorized},
                    CallerCase{"Missing", "/p/x", "", "", Unauthorized},
                    CallerCase{"KnownOnPublicRoute", "/open/x", "known",
                               "known", std::nullopt},
                    CallerCase{"UnknownOnPublicRoute", "/open/x", "other", "",
                               std::nullopt},
                    CallerCase{"MissingOnPublicRoute", "/open/x", "", "",
                               std::nullopt}),
    CaseName());

// Guards against headers that are lost if the configuration has no teams.
TEST_F(CallerAuthenticationTest, RestoresTheHeadersWithoutTeams) {
  Harness_.handle(makeTable(ConfigurationVersion(2), {}));
  request("/p/x", "any");
  const auto *Sent = Harness_.last<SendAttempt>();
  ASSERT_NE(Sent, nullptr);
  EXPECT_EQ(Sent->Request_->Headers_,
            (std::vector<Header>{{"Tenant", "claimed"},
                                 {"Authorization", "Bearer any"}}));
  EXPECT_EQ(Sent->Request_->Team_, std::nullopt);
}

// Guards against a check against an older version than the one in force.
TEST_F(CallerAuthenticationTest, FollowsTheVersionInForce) {
  Harness_.handle(makeTable(ConfigurationVersion(2), {"old"}));
  request("/p/x", "new");
  EXPECT_EQ(reason(), Unauthorized);
  Harness_.handle(makeTable(ConfigurationVersion(3), {"new"}));
  request("/p/x", "old");
  EXPECT_EQ(reason(), Unauthorized);
  request("/p/x", "new");
  EXPECT_EQ(reason(), std::nullopt);
  Harness_.handle(makeTable(ConfigurationVersion(2), {"old"}));
  request("/p/x", "old");
  EXPECT_EQ(reason(), Unauthorized);
}

// Guards against a team's priority that does not replace that of the route.
TEST_F(CallerAuthenticationTest, TheTeamsPriorityTakesPrecedence) {
  Harness_.handle(makeTable(ConfigurationVersion(2), {"known", "urgent"}));
  request("/p/x", "known");
  const AttemptId First = Harness_.last<SendAttempt>()->Attempt_;
  request("/p/second", "known");
  request("/p/third", "urgent");
  Harness_.finish(First, makeOutcome(AttemptResult::Answered));
  const auto *Next = Harness_.last<SendAttempt>();
  ASSERT_NE(Next, nullptr);
  EXPECT_EQ(Next->Request_->Target_, "/p/third");
}

struct ContactCase {
  const char *Name_;
  /// Whether a member is confirmed, by the time of each change.
  std::vector<std::pair<Duration, bool>> Changes_;
  Duration RequestAt_;
  bool IsOutdated_;
};

class ContactTest : public CallerAuthenticationTest,
                    public testing::WithParamInterface<ContactCase> {};

// Guards against refusing for good what a newer configuration may permit, and
// against refusing known keys while no control member is confirmed.
TEST_P(ContactTest, DecidesAboutUnknownKeysAndRoutes) {
  Harness_.handle(makeTable(ConfigurationVersion(2), {"known"}));
  for (auto [At, IsConfirmed] : GetParam().Changes_) {
    Harness_.advanceTo(TimePoint{} + At);
    Harness_.handle(ControlContactChanged{IsConfirmed});
  }
  Harness_.advanceTo(TimePoint{} + GetParam().RequestAt_);
  const bool IsOutdated = GetParam().IsOutdated_;
  request("/p/x", "other");
  EXPECT_EQ(reason(), IsOutdated ? RefusalReason::NotReady : Unauthorized);
  EXPECT_EQ(Harness_.refusal()->Outcome_, Outcome::NotRun);
  EXPECT_EQ(Harness_.refusal()->RetryAfter_.has_value(), IsOutdated);
  request("/none/x", "known");
  EXPECT_EQ(reason(), IsOutdated ? RefusalReason::NotReady
                                 : RefusalReason::UnknownService);
  request("/p/x", "known");
  EXPECT_EQ(reason(), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, ContactTest,
    testing::Values(
        ContactCase{"NeverConfirmed", {}, 10s, false},
        ContactCase{"NotYetConfirmed", {{0s, false}}, 10s, false},
        ContactCase{"Confirmed", {{0s, true}}, 10s, false},
        ContactCase{"JustLost", {{0s, true}, {1s, false}}, 1300ms, false},
        ContactCase{"Lost", {{0s, true}, {1s, false}}, 1301ms, true},
        ContactCase{"LostTwice",
                    {{0s, true}, {1s, false}, {1200ms, false}},
                    1301ms,
                    true},
        ContactCase{
            "FoundAgain", {{0s, true}, {1s, false}, {2s, true}}, 10s, false},
        ContactCase{"LostAgain",
                    {{0s, true}, {1s, false}, {2s, true}, {3s, false}},
                    3200ms,
                    false}),
    CaseName());

} // namespace
} // namespace jaybridge
