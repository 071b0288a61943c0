#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

std::shared_ptr<const RoutingTable> tableOf(AttemptCount Attempts,
                                            std::vector<RoutePart> Parts) {
  RoutingDraft Draft;
  Draft.Version_ = ConfigurationVersion(2);
  for (const RoutePart &Part : Parts)
    Draft.Services_.push_back(ServiceRule{Part.Service_, "/health"});
  RouteDraft Route;
  Route.Name_ = RouteName("r");
  Route.Host_ = HostName("a.example");
  Route.Prefix_ = "/p/";
  Route.Parts_ = std::move(Parts);
  Route.Repeat_ = Repeatability::Repeatable;
  Route.Patience_ = 2s;
  Route.GreatestAttempts_ = Attempts;
  Draft.Routes_ = {std::move(Route)};
  return std::make_shared<const RoutingTable>(
      RoutingTable::create(std::move(Draft)).takeValue());
}

RequestReceived requestTo(const std::string &Id, const std::string &Target) {
  auto Received = std::make_shared<Request>();
  Received->Id_ = RequestId(Id);
  Received->Authority_ = "A.example:80";
  Received->Target_ = Target;
  return RequestReceived{std::move(Received), false};
}

class RoutedRequestsTest : public testing::Test {
protected:
  RoutedRequestsTest() {
    for (int Number = 0; Number < 4; ++Number)
      Gateway_.handle(InstanceChanged{
          makeInstance("i" + std::to_string(Number), "s", SlotCount(4))});
  }
  void route(AttemptCount Attempts) {
    Gateway_.handle(
        RoutingChanged{tableOf(Attempts, {RoutePart{ServiceName("s")}})});
  }
  GatewayHarness Gateway_{makeProfile(Repeatability::Repeatable), 0};
};

// Load pattern: all gateways restart at once under traffic. Guards against
// requests that are refused although the routes are known a moment later:
// 171 of 195 requests of two seconds were.
TEST_F(RoutedRequestsTest, WaitForTheRoutesAfterAStart) {
  Gateway_.handle(requestTo("q", "/p/x"));
  EXPECT_EQ(Gateway_.last<AnswerCaller>(), nullptr);
  Gateway_.advanceTo(TimePoint{} + 500ms);
  route(AttemptCount(2));
  ASSERT_NE(Gateway_.last<SendAttempt>(), nullptr);
}

// Guards against requests that are held although nothing can serve them.
TEST_F(RoutedRequestsTest, AreRefusedAsNotRunWhenNoRoutesCome) {
  Gateway_.handle(requestTo("q", "/p/x"));
  Gateway_.advanceTo(TimePoint{} + 801ms);
  ASSERT_NE(Gateway_.refusal(), nullptr);
  EXPECT_EQ(Gateway_.refusal()->Reason_, RefusalReason::NotReady);
  EXPECT_EQ(Gateway_.refusal()->Outcome_, Outcome::NotRun);
  EXPECT_TRUE(Gateway_.refusal()->RetryAfter_);
}

// Guards against work for a caller that left while its request was held.
TEST_F(RoutedRequestsTest, AreForgottenWhenTheirCallerLeavesEarly) {
  Gateway_.handle(requestTo("q", "/p/x"));
  Gateway_.handle(CallerGone{RequestId("q")});
  route(AttemptCount(2));
  EXPECT_EQ(Gateway_.last<SendAttempt>(), nullptr);
}

// Guards against a path without a route that is sent anywhere.
TEST_F(RoutedRequestsTest, AreUnknownOutsideOfTheRoutes) {
  route(AttemptCount(2));
  Gateway_.handle(requestTo("q", "/other/x"));
  ASSERT_NE(Gateway_.refusal(), nullptr);
  EXPECT_EQ(Gateway_.refusal()->Reason_, RefusalReason::UnknownService);
}

struct AttemptCase {
  const char *Name_;
  AttemptCount Permitted_;
  AttemptResult Result_;
  int Attempts_;
};

class AttemptLimitTest : public RoutedRequestsTest,
                         public testing::WithParamInterface<AttemptCase> {};

// Guards against more instances running a request than its route permits, and
// against connections that never opened being counted as such.
TEST_P(AttemptLimitTest, CountsInstancesThatMayHaveRunTheRequest) {
  route(GetParam().Permitted_);
  Gateway_.handle(requestTo("q", "/p/x"));
  int Attempts = 0;
  while (const SendAttempt *Sent = Gateway_.last<SendAttempt>()) {
    ++Attempts;
    Gateway_.finish(Sent->Attempt_, makeOutcome(GetParam().Result_));
  }
  EXPECT_EQ(Attempts, GetParam().Attempts_);
}

INSTANTIATE_TEST_SUITE_P(
    Results, AttemptLimitTest,
    testing::Values(AttemptCase{"OneLost", AttemptCount(1),
                                AttemptResult::ConnectionLost, 1},
                    AttemptCase{"TwoLost", AttemptCount(3),
                                AttemptResult::ConnectionLost, 2},
                    AttemptCase{"CutShort", AttemptCount(2),
                                AttemptResult::ResponseTruncated, 2},
                    AttemptCase{"Unreachable", AttemptCount(1),
                                AttemptResult::ConnectFailed, 4}),
    CaseName());

// Guards against a part of a split that gets more or less than its weight.
TEST_F(RoutedRequestsTest, FollowTheWeightsOfASplit) {
  for (int Number = 0; Number < 2; ++Number)
    Gateway_.handle(InstanceChanged{
        makeInstance("t" + std::to_string(Number), "t", SlotCount(4))});
  Gateway_.handle(RoutingChanged{tableOf(
      AttemptCount(1), {RoutePart{ServiceName("s"), SplitWeight(90)},
                        RoutePart{ServiceName("t"), SplitWeight(10)}})});
  int ToSecond = 0;
  constexpr int Requests = 2000;
  for (int Number = 0; Number < Requests; ++Number) {
    Gateway_.handle(requestTo("q" + std::to_string(Number), "/p/x"));
    const auto *Sent = Gateway_.last<SendAttempt>();
    ASSERT_NE(Sent, nullptr);
    ToSecond += Sent->Request_->Service_ == ServiceName("t") ? 1 : 0;
    Gateway_.finish(Sent->Attempt_, makeOutcome(AttemptResult::Answered));
  }
  EXPECT_GE(ToSecond, Requests / 10 - Requests / 40);
  EXPECT_LE(ToSecond, Requests / 10 + Requests / 40);
}

} // namespace
} // namespace jaybridge
