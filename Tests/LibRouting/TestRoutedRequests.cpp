#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

std::shared_ptr<const RoutingTable>
makeRoutingTable(AttemptCount Attempts, std::vector<WeightedService> Parts,
                 Repeatability Repeats = Repeatability::Repeatable) {
  RoutingDraft Draft;
  Draft.Version_ = ConfigurationVersion(2);
  for (const WeightedService &Part : Parts)
    Draft.Services_.push_back(ServiceDefinition{Part.Service_, "/health"});
  RouteDraft Route;
  Route.Name_ = RouteName("r");
  Route.Host_ = HostName("a.example");
  Route.Prefix_ = "/p/";
  Route.WeightedServices_ = std::move(Parts);
  Route.Repeatability_ = Repeats;
  Route.Patience_ = 2s;
  Route.MaxAttempts_ = Attempts;
  Draft.Routes_ = {std::move(Route)};
  return std::make_shared<const RoutingTable>(
      RoutingTable::create(std::move(Draft)).takeValue());
}

RequestReceived makeRequest(const std::string &Id, const std::string &Target) {
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
      Harness_.handle(InstanceChanged{
          makeInstance("i" + std::to_string(Number), "s", SlotCount(4))});
  }
  void setRoutingTable(AttemptCount Attempts) {
    Harness_.handle(RoutingChanged{
        makeRoutingTable(Attempts, {WeightedService{ServiceName("s")}})});
  }
  GatewayHarness Harness_{makeProfile(Repeatability::Repeatable), 0};
};

// Guards against refusing requests that arrive just before the first routing
// table. When all gateways restarted at once under traffic, 171 of the 195
// requests of two seconds were refused.
TEST_F(RoutedRequestsTest, AreHeldUntilTheFirstRoutingTable) {
  Harness_.handle(makeRequest("q", "/p/x"));
  EXPECT_EQ(Harness_.last<AnswerCaller>(), nullptr);
  Harness_.advanceTo(TimePoint{} + 500ms);
  setRoutingTable(AttemptCount(2));
  ASSERT_NE(Harness_.last<SendAttempt>(), nullptr);
}

// Guards against holding requests forever when no routing table arrives.
TEST_F(RoutedRequestsTest, AreRefusedAsNotRunWhenNoRoutingTableArrives) {
  Harness_.handle(makeRequest("q", "/p/x"));
  Harness_.advanceTo(TimePoint{} + 801ms);
  ASSERT_NE(Harness_.refusal(), nullptr);
  EXPECT_EQ(Harness_.refusal()->Reason_, RefusalReason::NotReady);
  EXPECT_EQ(Harness_.refusal()->Outcome_, Outcome::NotRun);
  EXPECT_TRUE(Harness_.refusal()->RetryAfter_);
}

// Guards against dispatching a held request whose caller has disconnected.
TEST_F(RoutedRequestsTest, AreDroppedWhenTheCallerDisconnects) {
  Harness_.handle(makeRequest("q", "/p/x"));
  Harness_.handle(CallerDisconnected{RequestId("q")});
  setRoutingTable(AttemptCount(2));
  EXPECT_EQ(Harness_.last<SendAttempt>(), nullptr);
}

// Guards against dispatching a request whose path matches no route.
TEST_F(RoutedRequestsTest, AreRefusedWithoutAMatchingRoute) {
  setRoutingTable(AttemptCount(2));
  Harness_.handle(makeRequest("q", "/other/x"));
  ASSERT_NE(Harness_.refusal(), nullptr);
  EXPECT_EQ(Harness_.refusal()->Reason_, RefusalReason::UnknownService);
}

struct PipelinedCase {
  const char *Name_;
  Repeatability Repeats_;
  bool IsPipelined_;
  bool AwaitsTurn_;
};

class PipelinedRequestTest : public RoutedRequestsTest,
                             public testing::WithParamInterface<PipelinedCase> {
};

// Guards against an action that runs before the response to an earlier request
// of its connection, which may still close the connection.
TEST_P(PipelinedRequestTest, AwaitsItsTurnUnlessItIsRepeatable) {
  Harness_.handle(RoutingChanged{
      makeRoutingTable(AttemptCount(2), {WeightedService{ServiceName("s")}},
                       GetParam().Repeats_)});
  auto Marked = std::make_shared<Request>(*makeRequest("q", "/p/x").Request_);
  Marked->IsPipelined_ = GetParam().IsPipelined_;
  Harness_.handle(RequestReceived{Marked, false});
  const Refusal *Refused = Harness_.refusal();
  ASSERT_EQ(Refused != nullptr, GetParam().AwaitsTurn_);
  EXPECT_EQ(Harness_.last<SendAttempt>() == nullptr, GetParam().AwaitsTurn_);
  if (Refused != nullptr) {
    EXPECT_EQ(Refused->Reason_, RefusalReason::AwaitsTurn);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Routes, PipelinedRequestTest,
    testing::Values(
        PipelinedCase{"Safe", Repeatability::Repeatable, true, false},
        PipelinedCase{"Action", Repeatability::AtMostOnce, true, true},
        PipelinedCase{"FirstAction", Repeatability::AtMostOnce, false, false}),
    CaseName());

struct AttemptLimitCase {
  const char *Name_;
  AttemptCount Limit_;
  AttemptResult Result_;
  int Attempts_;
};

class AttemptLimitTest : public RoutedRequestsTest,
                         public testing::WithParamInterface<AttemptLimitCase> {
};

// Guards against running a request on more instances than its route permits,
// and against counting failed connections toward that limit.
TEST_P(AttemptLimitTest, CountsAttemptsThatMayHaveRunTheRequest) {
  setRoutingTable(GetParam().Limit_);
  Harness_.handle(makeRequest("q", "/p/x"));
  int Attempts = 0;
  while (const SendAttempt *Sent = Harness_.last<SendAttempt>()) {
    ++Attempts;
    Harness_.finish(Sent->Attempt_, makeOutcome(GetParam().Result_));
  }
  EXPECT_EQ(Attempts, GetParam().Attempts_);
}

INSTANTIATE_TEST_SUITE_P(
    Results, AttemptLimitTest,
    testing::Values(AttemptLimitCase{"OneLost", AttemptCount(1),
                                     AttemptResult::ConnectionLost, 1},
                    AttemptLimitCase{"TwoLost", AttemptCount(3),
                                     AttemptResult::ConnectionLost, 2},
                    AttemptLimitCase{"CutShort", AttemptCount(2),
                                     AttemptResult::ResponseTruncated, 2},
                    AttemptLimitCase{"Unreachable", AttemptCount(1),
                                     AttemptResult::ConnectFailed, 4}),
    CaseName());

// Guards against a service of a split route that gets more or fewer requests
// than its weight.
TEST_F(RoutedRequestsTest, AreSplitByWeight) {
  for (int Number = 0; Number < 2; ++Number)
    Harness_.handle(InstanceChanged{
        makeInstance("t" + std::to_string(Number), "t", SlotCount(4))});
  Harness_.handle(RoutingChanged{makeRoutingTable(
      AttemptCount(1), {WeightedService{ServiceName("s"), SplitWeight(90)},
                        WeightedService{ServiceName("t"), SplitWeight(10)}})});
  int ToSecond = 0;
  constexpr int Requests = 2000;
  for (int Number = 0; Number < Requests; ++Number) {
    Harness_.handle(makeRequest("q" + std::to_string(Number), "/p/x"));
    const auto *Sent = Harness_.last<SendAttempt>();
    ASSERT_NE(Sent, nullptr);
    ToSecond += Sent->Request_->Service_ == ServiceName("t") ? 1 : 0;
    Harness_.finish(Sent->Attempt_, makeOutcome(AttemptResult::Answered));
  }
  EXPECT_GE(ToSecond, Requests / 10 - Requests / 40);
  EXPECT_LE(ToSecond, Requests / 10 + Requests / 40);
}

} // namespace
} // namespace jaybridge
