#include "GatewayHarness.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr int InstanceCount = 10;

Request makeRequest(const std::string &Id, const std::string &Service) {
  Request Asked;
  Asked.Id_ = RequestId(Id);
  Asked.Service_ = ServiceName(Service);
  Asked.Target_ = "/" + Id;
  return Asked;
}

/// Sends requests and leaves them running.
void occupy(GatewayHarness &Harness, int Requests) {
  for (int Number = 0; Number < Requests; ++Number)
    Harness.request("o" + std::to_string(Number));
}

/// Sends requests until one is at the instance; the others are answered.
AttemptId sendTo(GatewayHarness &Harness, const std::string &Instance) {
  for (int Number = 0; Number < 1000; ++Number) {
    Harness.request("t" + std::to_string(Number));
    const SendAttempt *Sent = Harness.last<SendAttempt>();
    if (Sent->Instance_ == InstanceId(Instance))
      return Sent->Attempt_;
    Harness.finish(Sent->Attempt_, makeOutcome(AttemptResult::Answered));
  }
  ADD_FAILURE() << Instance << " was never chosen";
  return AttemptId();
}

/// Has the only attempts so far answered after this time.
void answerSlowly(GatewayHarness &Harness, Duration Elapsed) {
  for (int Number = 0; Number < 10; ++Number) {
    Harness.request("s" + std::to_string(Number));
    Harness.finish(
        Harness.last<SendAttempt>()->Attempt_,
        makeOutcome(AttemptResult::Answered, StatusCode(200), Elapsed));
  }
}

struct ReasonCase {
  const char *Name_;
  /// Makes instance i0 unavailable.
  void (*Prepare_)(GatewayHarness &);
  std::optional<UnavailableReason> Reason_;
};

class ReasonTest : public testing::TestWithParam<ReasonCase> {};

// Guards against an instance that gets no request while the explanation shows
// another cause, or none.
TEST_P(ReasonTest, TellsWhyTheInstanceIsNoCandidate) {
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable), InstanceCount,
                         SlotCount(1));
  GetParam().Prepare_(Harness);
  const RoutingExplanation Explained =
      Harness.Gateway_.explain(makeRequest("q", "s"), Harness.Now_);
  ASSERT_EQ(Explained.Services_.size(), 1U);
  const std::vector<CandidateView> &Views =
      Explained.Services_.front().Candidates_;
  ASSERT_GE(Views.size(), static_cast<std::size_t>(InstanceCount));
  EXPECT_EQ(Views.front().Instance_, InstanceId("i0"));
  EXPECT_EQ(Views.front().Reason_, GetParam().Reason_);
  EXPECT_EQ(Views.front().Cost_.has_value(), !GetParam().Reason_);
  EXPECT_TRUE(Views.front().IsLocal_);
}

void changeState(GatewayHarness &Harness, InstanceState State) {
  Harness.handle(InstanceChanged{
      makeInstance("i0", "s", SlotCount(1), State, Incarnation(2))});
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, ReasonTest,
    testing::Values(
        ReasonCase{"Candidate", [](GatewayHarness &) {}, std::nullopt},
        ReasonCase{"Draining",
                   [](GatewayHarness &Harness) {
                     changeState(Harness, InstanceState::Draining);
                   },
                   UnavailableReason::Draining},
        ReasonCase{"Lapsed",
                   [](GatewayHarness &Harness) {
                     changeState(Harness, InstanceState::Lapsed);
                   },
                   UnavailableReason::Departed},
        ReasonCase{"Ejected",
                   [](GatewayHarness &Harness) {
                     Harness.handle(EjectionsChanged{ServiceName("s"),
                                                     {InstanceId("i0")},
                                                     Harness.Now_ + 10s});
                   },
                   UnavailableReason::Ejected},
        ReasonCase{"BackingOff",
                   [](GatewayHarness &Harness) {
                     Harness.finish(sendTo(Harness, "i0"),
                                    makeOutcome(AttemptResult::RefusedNotRun));
                   },
                   UnavailableReason::BackingOff},
        ReasonCase{"WarmingUp",
                   [](GatewayHarness &Harness) {
                     changeState(Harness, InstanceState::Lapsed);
                     Harness.handle(InstanceChanged{
                         makeInstance("i0", "s", SlotCount(4),
                                      InstanceState::Serving, Incarnation(3))});
                     sendTo(Harness, "i0");
                   },
                   UnavailableReason::WarmingUp},
        ReasonCase{
            "Full",
            [](GatewayHarness &Harness) { occupy(Harness, InstanceCount); },
            UnavailableReason::Full}),
    CaseName());

std::string nameOf(const AdmittedNow &) { return "admitted"; }
std::string nameOf(const QueuedFor &) { return "queued"; }
std::string nameOf(const ForwardedTo &Forwarded) {
  return "forwarded to " + Forwarded.Home_.text();
}
std::string nameOf(const RefusedBecause &Refused) {
  return refusalReasonName(Refused.Reason_);
}

std::string decisionOf(const RoutingExplanation &Explained) {
  if (Explained.Refusal_)
    return refusalReasonName(*Explained.Refusal_);
  return std::visit([](const auto &Decision) { return nameOf(Decision); },
                    Explained.Services_.front().Admission_);
}

/// What the gateway did with the last request.
std::string actionOf(const GatewayHarness &Harness) {
  if (const Refusal *Refused = Harness.refusal())
    return refusalReasonName(Refused->Reason_);
  if (const auto *Forwarded = Harness.last<ForwardRequest>())
    return "forwarded to " + Forwarded->Home_.text();
  return Harness.last<SendAttempt>() ? "admitted" : "queued";
}

struct AdmissionCase {
  const char *Name_;
  int Instances_;
  void (*Prepare_)(GatewayHarness &);
  const char *Decision_;
};

class AdmissionTest : public testing::TestWithParam<AdmissionCase> {};

// Guards against an explanation that differs from what the gateway does with
// the request.
TEST_P(AdmissionTest, IsExplainedAsItIsDone) {
  GatewaySettings Settings = GatewayHarness::defaultSettings();
  Settings.QueueCapacity_ = EventCount(2);
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable),
                         GetParam().Instances_, SlotCount(2), Settings);
  GetParam().Prepare_(Harness);
  const Request Asked = makeRequest("q", "s");
  EXPECT_EQ(decisionOf(Harness.Gateway_.explain(Asked, Harness.Now_)),
            GetParam().Decision_);
  Harness.request("q");
  EXPECT_EQ(actionOf(Harness), GetParam().Decision_);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions, AdmissionTest,
    testing::Values(
        AdmissionCase{"Admitted", 2, [](GatewayHarness &) {}, "admitted"},
        AdmissionCase{"Queued", 2,
                      [](GatewayHarness &Harness) { occupy(Harness, 4); },
                      "queued"},
        AdmissionCase{"BehindAnother", 2,
                      [](GatewayHarness &Harness) { occupy(Harness, 5); },
                      "queued"},
        AdmissionCase{"QueueFull", 2,
                      [](GatewayHarness &Harness) { occupy(Harness, 6); },
                      "queue-full"},
        AdmissionCase{"Overloaded", 2,
                      [](GatewayHarness &Harness) {
                        answerSlowly(Harness, 900ms);
                        occupy(Harness, 5);
                      },
                      "overloaded"},
        AdmissionCase{"NoInstance", 0, [](GatewayHarness &) {}, "no-instance"},
        AdmissionCase{
            "Draining", 2,
            [](GatewayHarness &Harness) { Harness.handle(DrainStarted{}); },
            "draining"},
        AdmissionCase{"TooLateToFinish", 2,
                      [](GatewayHarness &Harness) {
                        Harness.handle(DrainStarted{Harness.Now_ + 10s,
                                                    Harness.Now_ + 500ms});
                      },
                      "draining"},
        AdmissionCase{"Crashing", 2,
                      [](GatewayHarness &Harness) {
                        Harness.handle(FingerprintsQuarantined{
                            {fingerprintOf(makeRequest("q", "s"))}});
                      },
                      "crashes-upstreams"},
        AdmissionCase{"Forwarded", 2,
                      [](GatewayHarness &Harness) {
                        Harness.handle(
                            HomesChanged{ServiceName("s"), {MemberId("home")}});
                      },
                      "forwarded to home"},
        AdmissionCase{
            "UnknownService", 2,
            [](GatewayHarness &Harness) {
              Harness.handle(CatalogChanged{ConfigurationVersion(2), {}});
            },
            "unknown-service"}),
    CaseName());

// Guards against an explanation that consumes a random draw or reserves a slot,
// and so changes where later requests go.
TEST(ExplanationTest, ChangesNothing) {
  GatewayHarness Asked(makeProfile(Repeatability::Repeatable), InstanceCount);
  GatewayHarness Unasked(makeProfile(Repeatability::Repeatable), InstanceCount);
  for (int Number = 0; Number < 2 * InstanceCount; ++Number) {
    const std::string Id = "q" + std::to_string(Number);
    Asked.handle(ExplanationRequest{
        ExplanationId(1),
        std::make_shared<const Request>(makeRequest(Id, "s")),
        {}});
    EXPECT_EQ(Asked.Effects_.size(), 1U);
    ASSERT_NE(Asked.last<ExplanationResponse>(), nullptr);
    for (GatewayHarness *Harness : {&Asked, &Unasked})
      Harness->request(Id);
    ASSERT_NE(Unasked.last<SendAttempt>(), nullptr);
    EXPECT_EQ(Asked.last<SendAttempt>()->Instance_,
              Unasked.last<SendAttempt>()->Instance_);
  }
}

struct RouteCase {
  const char *Name_;
  bool HasTable_;
  const char *Target_;
  std::optional<RefusalReason> Refusal_;
};

class RouteExplanationTest : public testing::TestWithParam<RouteCase> {};

// Guards against an explanation without the service that the request would go
// to, and against one by another route.
TEST_P(RouteExplanationTest, ListsTheServicesOfTheRoute) {
  GatewayHarness Harness(makeProfile(Repeatability::Repeatable), 0);
  RoutingDraft Draft;
  Draft.Version_ = ConfigurationVersion(2);
  Draft.Services_ = {{ServiceName("s"), "/health"},
                     {ServiceName("t"), "/health"}};
  RouteDraft Route;
  Route.Name_ = RouteName("r");
  Route.Host_ = HostName("a.example");
  Route.Prefix_ = "/p/";
  Route.WeightedServices_ = {{ServiceName("s"), SplitWeight(90)},
                             {ServiceName("t"), SplitWeight(10)}};
  Draft.Routes_ = {std::move(Route)};
  if (GetParam().HasTable_)
    Harness.handle(RoutingChanged{std::make_shared<const RoutingTable>(
        RoutingTable::create(std::move(Draft)).takeValue())});
  Request Asked = makeRequest("q", "");
  Asked.Authority_ = "A.example:80";
  Asked.Target_ = GetParam().Target_;
  const RoutingExplanation Explained =
      Harness.Gateway_.explain(Asked, Harness.Now_);
  EXPECT_EQ(Explained.Refusal_, GetParam().Refusal_);
  if (GetParam().Refusal_) {
    EXPECT_TRUE(Explained.Services_.empty());
    return;
  }
  EXPECT_EQ(Explained.Route_, RouteName("r"));
  ASSERT_EQ(Explained.Services_.size(), 2U);
  EXPECT_EQ(Explained.Services_[0].Weight_, SplitWeight(90));
  EXPECT_EQ(Explained.Services_[1].Service_, ServiceName("t"));
}

INSTANTIATE_TEST_SUITE_P(
    Targets, RouteExplanationTest,
    testing::Values(
        RouteCase{"Matching", true, "/p/x?y=/q", std::nullopt},
        RouteCase{"NotMatching", true, "/q/x", RefusalReason::UnknownService},
        RouteCase{"NoTable", false, "/p/x", RefusalReason::NotReady}),
    CaseName());

} // namespace
} // namespace jaybridge
