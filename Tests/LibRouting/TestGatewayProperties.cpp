#include "GatewayHarness.h"

#include <Support/CaseName.h>

#include <map>

namespace jaybridge {
namespace {

struct Sent {
  AttemptId Attempt_;
  std::shared_ptr<const Request> Request_;
};

struct History {
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

/// Feeds a gateway random events in random order and checks its effects
/// against the invariants of section 1.2 after each.
class RandomWorld {
public:
  explicit RandomWorld(RandomSeed Seed)
      : Random_(Seed), Role_(Gateway::create(settings(), Seed).takeValue()) {
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
    std::vector<GatewayEffect> Out;
    Role_.advance(Now_, Out);
    observe(Out);
    switch (Random_.below(16)) {
    case 0:
      return changeInstance();
    case 1:
      return changeHomes();
    case 2:
      return eject();
    case 3:
      return leaveCaller();
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
      return receive();
    default:
      return endAttempt();
    }
  }

  void finish() {
    while (!Sent_.empty())
      endAttempt();
    for (int Step = 0; Step < 100; ++Step) {
      Now_ += 100ms;
      std::vector<GatewayEffect> Out;
      Role_.advance(Now_, Out);
      observe(Out);
      while (!Sent_.empty())
        endAttempt();
    }
    for (const auto &[Id, Given] : Histories_) {
      EXPECT_EQ(Given.Answers_, 1) << Id.text();
      EXPECT_TRUE(!Given.IsGranted_ || Given.WasReleased_ || Given.WasFinished_)
          << "claim left open";
    }
    EXPECT_EQ(Role_.requestCount(), 0U);
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
    std::vector<GatewayEffect> Out;
    Role_.handle(Event, Now_, Out);
    observe(Out);
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
      Changed.Preferred_ = {MemberId("m1"), MemberId("m2")};
    handle(Changed);
  }
  void eject() {
    ServiceName Service = anyService();
    handle(EjectionsChanged{Service,
                            {anyInstance(Service)},
                            Now_ + Duration(Random_.below(50000))});
  }
  void leaveCaller() {
    if (!Ids_.empty())
      handle(CallerDisconnected{Ids_[Random_.below(Ids_.size())]});
  }
  void receive() {
    auto Received = std::make_shared<Request>();
    Received->Id_ = RequestId("r" + std::to_string(Ids_.size()));
    Received->Service_ = anyService();
    if (Random_.below(2) == 0)
      Received->Key_ = IdempotencyKeyText(Received->Id_.text());
    if (Random_.below(2) == 0)
      Received->Deadline_ = Now_ + Duration(Random_.below(100000));
    Ids_.push_back(Received->Id_);
    History &Given = Histories_[Received->Id_];
    Given.IsRepeatable_ = Received->Service_ == ServiceName("reads");
    Given.NeedsClaim_ = !Given.IsRepeatable_ && Received->Key_.has_value();
    handle(RequestReceived{Received, Random_.below(3) == 0});
  }
  void decideClaim() {
    if (Claims_.empty())
      return;
    RequestId Id = take(Claims_);
    if (Random_.below(4) == 0)
      return handle(ClaimDecided{
          Id, Answer(Refusal{
                  Outcome::Unknown, RefusalReason::InProgress, {}, {}})});
    Histories_[Id].IsGranted_ = true;
    handle(ClaimDecided{Id, ClaimGranted{}});
  }
  void answerForward() {
    if (Forwards_.empty())
      return;
    RequestId Id = take(Forwards_);
    History &Given = Histories_[Id];
    switch (Random_.below(5)) {
    case 0:
      ++Given.Runs_;
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
      ++Given.Runs_;
      return handle(ForwardAnswered{
          Id, Refusal{Outcome::Unknown, RefusalReason::HomeLost, {}, {}}});
    }
  }
  void endAttempt() {
    if (Sent_.empty())
      return;
    Sent Ended = take(Sent_);
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

  void observe(const std::vector<GatewayEffect> &Out) {
    for (const GatewayEffect &Effect : Out)
      std::visit(
          Overloaded{[this](const SendAttempt &Each) { observeSend(Each); },
                     [this](const AnswerCaller &Each) { observeAnswer(Each); },
                     [this](const RecordStep &Each) { noteRun(Each); },
                     [this](const ClaimKey &Each) {
                       EXPECT_TRUE(Histories_[Each.Request_->Id_].NeedsClaim_);
                       Claims_.push_back(Each.Request_->Id_);
                     },
                     [this](const ReleaseKey &Each) {
                       EXPECT_EQ(Histories_[Each.Id_].Runs_, 0)
                           << "released a key that may have run "
                           << Each.Id_.text();
                       Histories_[Each.Id_].WasReleased_ = true;
                     },
                     [this](const FinishKey &Each) { observeFinish(Each); },
                     [this](const ForwardRequest &Each) {
                       ++Histories_[Each.Request_->Id_].Forwards_;
                       Forwards_.push_back(Each.Request_->Id_);
                     },
                     [](const auto &) {}},
          Effect);
  }
  void noteRun(const RecordStep &Step) {
    if (Step.Kind_ == StepKind::AttemptEnded &&
        Step.Detail_ != "refused-not-run" && Step.Detail_ != "connect-failed")
      ++Histories_[Step.Id_].Runs_;
  }
  void observeFinish(const FinishKey &Each) {
    History &Given = Histories_[Each.Id_];
    EXPECT_TRUE(Given.IsGranted_ && !Given.WasReleased_);
    EXPECT_FALSE(Given.WasFinished_) << "finished twice";
    Given.WasFinished_ = true;
    for (const Sent &Other : Sent_)
      EXPECT_NE(Other.Request_->Id_, Each.Id_) << "finished while running";
  }
  void observeSend(const SendAttempt &Each) {
    History &Given = Histories_[Each.Request_->Id_];
    ++Given.Dispatches_;
    ++Dispatches_;
    EXPECT_EQ(Given.Answers_, 0) << "dispatched after the answer";
    EXPECT_LT(Now_, Each.Deadline_) << "dispatched after the deadline";
    EXPECT_FALSE(Given.WasReleased_) << "dispatched after release";
    EXPECT_TRUE(Given.IsGranted_ || !Given.NeedsClaim_) << "no claim";
    if (!Given.IsRepeatable_) {
      EXPECT_EQ(Given.Runs_, 0) << "dispatched again after it may have run";
      for (const Sent &Other : Sent_)
        EXPECT_NE(Other.Request_->Id_, Each.Request_->Id_) << "two at a time";
    }
    Sent_.push_back(Sent{Each.Attempt_, Each.Request_});
  }
  void observeAnswer(const AnswerCaller &Each) {
    History &Given = Histories_[Each.Id_];
    ++Given.Answers_;
    EXPECT_EQ(Given.Answers_, 1) << Each.Id_.text();
    const auto *Refused = std::get_if<Refusal>(&Each.Answer_);
    if (!Refused || Refused->Outcome_ != Outcome::NotRun)
      return;
    EXPECT_EQ(Given.Runs_, 0) << "false not-run " << Each.Id_.text();
    for (const Sent &Other : Sent_)
      EXPECT_NE(Other.Request_->Id_, Each.Id_) << "not-run while running";
    EXPECT_TRUE(Given.IsGranted_ || !Given.NeedsClaim_ || Given.Forwards_ > 0)
        << "not-run without a claim";
  }

  Random Random_;
  Gateway Role_;
  TimePoint Now_{};
  Incarnation Incarnations_;
  int Dispatches_ = 0;
  std::map<RequestId, History> Histories_;
  std::vector<RequestId> Ids_;
  std::vector<RequestId> Claims_;
  std::vector<RequestId> Forwards_;
  std::vector<Sent> Sent_;
};

class GatewayPropertiesTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a request that is lost, answered twice, run twice or falsely
// called not run under any order of events.
TEST_P(GatewayPropertiesTest, KeepsTheInvariantsInAnyOrder) {
  RandomWorld World{RandomSeed(GetParam())};
  for (int Step = 0; Step < 5000; ++Step)
    World.step();
  World.finish();
}

INSTANTIATE_TEST_SUITE_P(Seeds, GatewayPropertiesTest,
                         testing::Range<std::uint64_t>(1, 41),
                         [](const auto &Info) {
                           return "Seed" + std::to_string(Info.param);
                         });

} // namespace
} // namespace jaybridge
