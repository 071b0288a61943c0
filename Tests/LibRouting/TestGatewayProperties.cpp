#include "GatewayHarness.h"

#include <Support/CaseName.h>

#include <map>

namespace jaybridge {
namespace {

struct SentAttempt {
  AttemptId Attempt_;
  std::shared_ptr<const Request> Request_;
};

/// The history of one request, as seen by the host of the gateway.
struct ObservedRequest {
  bool IsRepeatable_ = false;
  bool NeedsClaim_ = false;
  bool IsGranted_ = false;
  bool WasReleased_ = false;
  bool WasFinished_ = false;
  int Answers_ = 0;
  int Dispatches_ = 0;
  /// Attempts that ran or may have run the request.
  int Runs_ = 0;
  int Forwards_ = 0;
};

/// Feeds a gateway random events in random order and checks its effects after
/// each event against the invariants in docs/design.md, section 1.2.
class GatewaySimulation {
public:
  explicit GatewaySimulation(RandomSeed Seed)
      : Random_(Seed), Gateway_(Gateway::create(settings(), Seed).takeValue()) {
    handle(CatalogChanged{
        ConfigurationVersion(1),
        {ServicePolicy{ServiceName("reads"),
                       makeProfile(Repeatability::Repeatable, true),
                       ConfigurationVersion(1)},
         ServicePolicy{ServiceName("orders"),
                       makeProfile(Repeatability::AtMostOnce),
                       ConfigurationVersion(1)}}});
  }

  void step() {
    Now_ += Duration(Random_.below(4000));
    std::vector<GatewayEffect> Effects;
    Gateway_.advance(Now_, Effects);
    observe(Effects);
    switch (Random_.below(16)) {
    case 0:
      return changeInstance();
    case 1:
      return changeHomes();
    case 2:
      return eject();
    case 3:
      return disconnectCaller();
    case 4:
    case 5:
    case 6:
      return decideClaim();
    case 7:
    case 8:
      return answerForward();
    case 9:
    case 10:
    case 11:
      return receiveRequest();
    default:
      return endAttempt();
    }
  }

  void finish() {
    while (!SentAttempts_.empty())
      endAttempt();
    for (int Step = 0; Step < 100; ++Step) {
      Now_ += 100ms;
      std::vector<GatewayEffect> Effects;
      Gateway_.advance(Now_, Effects);
      observe(Effects);
      while (!SentAttempts_.empty())
        endAttempt();
    }
    for (const auto &[Id, Observed] : ObservedRequests_) {
      EXPECT_EQ(Observed.Answers_, 1) << Id.text();
      EXPECT_TRUE(!Observed.IsGranted_ || Observed.WasReleased_ ||
                  Observed.WasFinished_)
          << "claim left open";
    }
    EXPECT_EQ(Gateway_.requestCount(), 0U);
    EXPECT_GT(Dispatches_, 100);
  }

private:
  static GatewaySettings settings() {
    return GatewaySettings{MemberId("self"), FailureDomain("here"),
                           EventCount(60), EventCount(10)};
  }

  template <typename Item> Item take(std::vector<Item> &From) {
    std::size_t Position = Random_.below(From.size());
    Item Taken = From[Position];
    From.erase(From.begin() + static_cast<std::ptrdiff_t>(Position));
    return Taken;
  }
  ServiceName anyService() {
    return ServiceName(Random_.below(2) == 0 ? "reads" : "orders");
  }
  InstanceId anyInstance(const ServiceName &Service) {
    return InstanceId(Service.text() + std::to_string(Random_.below(4)));
  }

  void handle(const GatewayEvent &Event) {
    std::vector<GatewayEffect> Effects;
    Gateway_.handle(Event, Now_, Effects);
    observe(Effects);
  }

  void changeInstance() {
    ServiceName Service = anyService();
    Incarnations_ = Incarnations_.next();
    auto State = Random_.below(3) != 0
                     ? InstanceState::Serving
                     : static_cast<InstanceState>(Random_.below(4));
    handle(InstanceChanged{makeInstance(anyInstance(Service).text(),
                                        Service.text(), SlotCount(3), State,
                                        Incarnations_)});
  }
  void changeHomes() {
    HomesChanged Changed{anyService(), {}};
    if (Random_.below(2) == 0)
      Changed.Homes_ = {MemberId("m1"), MemberId("m2")};
    handle(Changed);
  }
  void eject() {
    ServiceName Service = anyService();
    handle(EjectionsChanged{Service,
                            {anyInstance(Service)},
                            Now_ + Duration(Random_.below(50000))});
  }
  void disconnectCaller() {
    if (!RequestIds_.empty())
      handle(
          CallerDisconnected{RequestIds_[Random_.below(RequestIds_.size())]});
  }
  void receiveRequest() {
    auto Received = std::make_shared<Request>();
    Received->Id_ = RequestId("r" + std::to_string(RequestIds_.size()));
    Received->Service_ = anyService();
    if (Random_.below(2) == 0)
      Received->Key_ = IdempotencyKeyText(Received->Id_.text());
    if (Random_.below(2) == 0)
      Received->Deadline_ = Now_ + Duration(Random_.below(100000));
    RequestIds_.push_back(Received->Id_);
    ObservedRequest &Observed = ObservedRequests_[Received->Id_];
    Observed.IsRepeatable_ = Received->Service_ == ServiceName("reads");
    Observed.NeedsClaim_ =
        !Observed.IsRepeatable_ && Received->Key_.has_value();
    handle(RequestReceived{Received, Random_.below(3) == 0});
  }
  void decideClaim() {
    if (PendingClaims_.empty())
      return;
    RequestId Id = take(PendingClaims_);
    if (Random_.below(4) == 0)
      return handle(ClaimDecided{
          Id, Answer(Refusal{
                  Outcome::Unknown, RefusalReason::InProgress, {}, {}})});
    ObservedRequests_[Id].IsGranted_ = true;
    handle(ClaimDecided{Id, ClaimGranted{}});
  }
  void answerForward() {
    if (PendingForwards_.empty())
      return;
    RequestId Id = take(PendingForwards_);
    ObservedRequest &Observed = ObservedRequests_[Id];
    switch (Random_.below(5)) {
    case 0:
      ++Observed.Runs_;
      return handle(ForwardAnswered{Id, Response{StatusCode(200), {}, {}}});
    case 1:
      return handle(ForwardAnswered{
          Id, Refusal{Outcome::NotRun, RefusalReason::Draining, {}, {}}});
    case 2:
      return handle(ForwardAnswered{
          Id, Refusal{Outcome::NotRun, RefusalReason::HomeLost, {}, {}}});
    case 3:
      return handle(ForwardAnswered{
          Id, Refusal{Outcome::NotRun, RefusalReason::Overloaded, {}, {}}});
    default:
      ++Observed.Runs_;
      return handle(ForwardAnswered{
          Id, Refusal{Outcome::Unknown, RefusalReason::HomeLost, {}, {}}});
    }
  }
  void endAttempt() {
    if (SentAttempts_.empty())
      return;
    SentAttempt Ended = take(SentAttempts_);
    auto Result = static_cast<AttemptResult>(
        Random_.below(static_cast<int>(AttemptResult::Cancelled) + 1));
    StatusCode Code(Random_.below(3) == 0 ? 500 : 200);
    handle(AttemptFinished{
        Ended.Attempt_,
        makeOutcome(Result, Code, Duration(Random_.below(30000)))});
    // The end of an attempt may be reported twice.
    if (Random_.below(8) == 0)
      handle(AttemptFinished{Ended.Attempt_,
                             makeOutcome(AttemptResult::Answered)});
  }

  void observe(const std::vector<GatewayEffect> &Effects) {
    for (const GatewayEffect &Effect : Effects)
      std::visit(
          Overloaded{
              [this](const SendAttempt &Send) { observeSend(Send); },
              [this](const AnswerCaller &Answered) { observeAnswer(Answered); },
              [this](const RecordStep &Step) { observeStep(Step); },
              [this](const ClaimKey &Claim) {
                EXPECT_TRUE(ObservedRequests_[Claim.Request_->Id_].NeedsClaim_);
                PendingClaims_.push_back(Claim.Request_->Id_);
              },
              [this](const ReleaseKey &Release) {
                EXPECT_EQ(ObservedRequests_[Release.Id_].Runs_, 0)
                    << "released a key that may have run "
                    << Release.Id_.text();
                ObservedRequests_[Release.Id_].WasReleased_ = true;
              },
              [this](const FinishKey &Finish) { observeFinish(Finish); },
              [this](const ForwardRequest &Forward) {
                ++ObservedRequests_[Forward.Request_->Id_].Forwards_;
                PendingForwards_.push_back(Forward.Request_->Id_);
              },
              [](const auto &) {}},
          Effect);
  }
  void observeStep(const RecordStep &Step) {
    if (Step.Kind_ == StepKind::AttemptEnded &&
        Step.Detail_ != "refused-not-run" && Step.Detail_ != "connect-failed")
      ++ObservedRequests_[Step.Id_].Runs_;
  }
  void observeFinish(const FinishKey &Finish) {
    ObservedRequest &Observed = ObservedRequests_[Finish.Id_];
    EXPECT_TRUE(Observed.IsGranted_ && !Observed.WasReleased_);
    EXPECT_FALSE(Observed.WasFinished_) << "finished twice";
    Observed.WasFinished_ = true;
    for (const SentAttempt &Attempt : SentAttempts_)
      EXPECT_NE(Attempt.Request_->Id_, Finish.Id_) << "finished while running";
  }
  void observeSend(const SendAttempt &Send) {
    ObservedRequest &Observed = ObservedRequests_[Send.Request_->Id_];
    ++Observed.Dispatches_;
    ++Dispatches_;
    EXPECT_EQ(Observed.Answers_, 0) << "dispatched after the answer";
    EXPECT_LT(Now_, Send.Deadline_) << "dispatched after the deadline";
    EXPECT_FALSE(Observed.WasReleased_) << "dispatched after release";
    EXPECT_TRUE(Observed.IsGranted_ || !Observed.NeedsClaim_) << "no claim";
    if (!Observed.IsRepeatable_) {
      EXPECT_EQ(Observed.Runs_, 0) << "dispatched again after it may have run";
      for (const SentAttempt &Attempt : SentAttempts_)
        EXPECT_NE(Attempt.Request_->Id_, Send.Request_->Id_) << "two at a time";
    }
    SentAttempts_.push_back(SentAttempt{Send.Attempt_, Send.Request_});
  }
  void observeAnswer(const AnswerCaller &Answered) {
    ObservedRequest &Observed = ObservedRequests_[Answered.Id_];
    ++Observed.Answers_;
    EXPECT_EQ(Observed.Answers_, 1) << Answered.Id_.text();
    const auto *Refused = std::get_if<Refusal>(&Answered.Answer_);
    if (!Refused || Refused->Outcome_ != Outcome::NotRun)
      return;
    EXPECT_EQ(Observed.Runs_, 0) << "false not-run " << Answered.Id_.text();
    for (const SentAttempt &Attempt : SentAttempts_)
      EXPECT_NE(Attempt.Request_->Id_, Answered.Id_) << "not-run while running";
    EXPECT_TRUE(Observed.IsGranted_ || !Observed.NeedsClaim_ ||
                Observed.Forwards_ > 0)
        << "not-run without a claim";
  }

  Random Random_;
  Gateway Gateway_;
  TimePoint Now_{};
  Incarnation Incarnations_;
  int Dispatches_ = 0;
  std::map<RequestId, ObservedRequest> ObservedRequests_;
  std::vector<RequestId> RequestIds_;
  std::vector<RequestId> PendingClaims_;
  std::vector<RequestId> PendingForwards_;
  std::vector<SentAttempt> SentAttempts_;
};

class GatewayPropertiesTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against requests that are never answered, answered twice, run twice or
// wrongly reported as not-run, under any order of events.
TEST_P(GatewayPropertiesTest, KeepsInvariantsUnderRandomEvents) {
  GatewaySimulation Simulation{RandomSeed(GetParam())};
  for (int Step = 0; Step < 5000; ++Step)
    Simulation.step();
  Simulation.finish();
}

INSTANTIATE_TEST_SUITE_P(Seeds, GatewayPropertiesTest,
                         testing::Range<std::uint64_t>(1, 41),
                         [](const auto &Info) {
                           return "Seed" + std::to_string(Info.param);
                         });

} // namespace
} // namespace jaybridge
