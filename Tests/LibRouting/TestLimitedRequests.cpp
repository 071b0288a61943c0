#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

struct LimitedCase {
  const char *Name_;
  /// Whether the team of the request has a limit.
  bool IsLimited_;
  /// Tokens that the control member grants; none if it does not answer.
  std::optional<RequestTokens> Granted_;
  /// None if the request is sent to an instance.
  std::optional<RefusalReason> Reason_;
  StatusCode Status_;
};

class LimitedRequestTest : public testing::TestWithParam<LimitedCase> {};

// Guards against a request beyond the limit of its team that reaches an
// instance, a refusal that is not certain, and waiting without a limit.
TEST_P(LimitedRequestTest, IsSentOrRefusedByTheGrant) {
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable), 0);
  Harness.Now_ = TimePoint(1h);
  Harness.handle(InstanceChanged{makeInstance("i", "s", SlotCount(4))});
  RoutingDraft Draft;
  Draft.Version_ = ConfigurationVersion(2);
  Draft.Services_ = {ServiceDefinition{ServiceName("s"), "/health"}};
  RouteDraft Route;
  Route.Name_ = RouteName("r");
  Route.Host_ = HostName("a.example");
  Route.Prefix_ = "/";
  Route.WeightedServices_ = {WeightedService{ServiceName("s")}};
  Draft.Routes_ = {Route};
  TeamDraft Team;
  Team.Name_ = TeamName("t");
  Team.Keys_.emplace_back("key");
  if (GetParam().IsLimited_)
    Team.Limit_ = TeamLimit{RequestRate(10), RequestTokens(10)};
  Draft.Teams_.push_back(Team);
  Harness.handle(RoutingChanged{std::make_shared<const RoutingTable>(
      RoutingTable::create(std::move(Draft)).takeValue())});
  auto Received = std::make_shared<Request>();
  Received->Id_ = RequestId("q");
  Received->Authority_ = "a.example";
  Received->Target_ = "/x";
  Received->Credential_.emplace("key");
  Harness.handle(RequestReceived{std::move(Received), false});
  const auto *Asked = Harness.last<SendTokenRequest>();
  ASSERT_EQ(Asked != nullptr, GetParam().IsLimited_);
  if (Asked) {
    EXPECT_EQ(Harness.count<SendAttempt>(), 0);
    TokenGrant Grant{Asked->Request_.Round_, {}};
    if (GetParam().Granted_) {
      TokenShare Share{TeamName("t"), *GetParam().Granted_, std::nullopt};
      if (Share.Granted_ < RequestTokens(1))
        Share.RetryAfter_ = 100ms;
      Grant.Shares_.push_back(Share);
      Harness.handle(TokensGranted{Grant});
    } else {
      Harness.advanceTo(Harness.Now_ + TeamLimiter::MaxWait);
    }
  }
  EXPECT_EQ(Harness.count<SendAttempt>(), GetParam().Reason_ ? 0 : 1);
  if (const Refusal *Refused = Harness.refusal()) {
    EXPECT_EQ(Refused->Reason_, GetParam().Reason_);
    EXPECT_EQ(Refused->Outcome_, Outcome::NotRun);
    EXPECT_EQ(statusOf(*Refused), GetParam().Status_);
    EXPECT_TRUE(Refused->RetryAfter_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Grants, LimitedRequestTest,
    testing::Values(
        LimitedCase{"NoLimit", false, std::nullopt, std::nullopt, {}},
        LimitedCase{"Granted", true, RequestTokens(1), std::nullopt, {}},
        LimitedCase{"Empty", true, RequestTokens(0), RefusalReason::RateLimited,
                    StatusCode(429)},
        LimitedCase{"Silence", true, std::nullopt, RefusalReason::NotReady,
                    StatusCode(503)}),
    CaseName());

} // namespace
} // namespace jaybridge
