#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibRouting/GatewayMessages.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>

namespace jaybridge {

struct FakeService {
  std::string Name_;
  Profile Rules_;
  int Instances_ = 7;
  SlotCount Slots_ = SlotCount(4);
  /// Offered load against what the slots can serve.
  double Load_ = 0.6;
};

enum class FaultKind { Slow, Errors, Restart };

/// A fault of one instance of every service, or of all.
struct FakeFault {
  static constexpr int Everywhere = -1;
  FaultKind Kind_ = FaultKind::Slow;
  int Instance_ = Everywhere;
  Duration From_{};
  Duration To_{};
  /// How many times slower, or the share of work that fails.
  double Amount_ = 0;
};

struct FakeWorld {
  const char *Name_;
  int Gateways_ = 3;
  std::vector<FakeService> Services_;
  std::vector<FakeFault> Faults_{};
  /// Callers resend up to three times after a failure.
  bool CallersResend_ = false;
  Duration Length_ = 10s;
  /// How long callers wait.
  Duration Patience_ = 400ms;
};

struct ServiceFigures {
  double Offered_ = 0;
  double Good_ = 0;
  double Capacity_ = 0;
};

struct FleetFigures {
  std::map<std::string, ServiceFigures> Services_;
  double Requests_ = 0;
  double Good_ = 0;
  double Dispatched_ = 0;
  double Dispatches_ = 0;
  double Collisions_ = 0;
  double DoubledRuns_ = 0;
  double FalseNotRun_ = 0;
  double Unanswered_ = 0;
  double WeightedGood_ = 0;
  double WeightedOffered_ = 0;
  Duration Median_{};
  Duration Tail_{};

  double goodShare() const { return Good_ / Requests_; }
  double amplification() const { return Dispatches_ / Dispatched_; }
};

/// Gateways of one kind in front of small queueing fakes of instances, driven
/// in logical time. An instance has slots, a short backlog, and sheds beyond.
template <DecisionRole Role> class FakeFleet {
public:
  using Factory = std::function<Role(int Gateway, RandomSeed Seed)>;

  FakeFleet(const FakeWorld &World, const Factory &Create, RandomSeed Seed)
      : World_(World), Random_(Seed), Arrivals_(RandomSeed(Random_.next())) {
    for (int Number = 0; Number < World.Gateways_; ++Number)
      Gateways_.push_back(Create(Number, RandomSeed(Random_.next())));
    std::vector<ServicePolicy> Policies;
    for (const FakeService &Each : World.Services_)
      Policies.push_back(
          {ServiceName(Each.Name_), Each.Rules_, ConfigurationVersion(1)});
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      handle(Gateway, CatalogChanged{ConfigurationVersion(1), Policies});
    for (const FakeService &Each : World.Services_)
      startService(Each);
    for (const FakeFault &Fault : World.Faults_)
      if (Fault.Kind_ == FaultKind::Restart)
        scheduleRestart(Fault);
  }

  FleetFigures run() {
    while (step()) {
    }
    return summarize();
  }

private:
  using Key = std::pair<std::size_t, AttemptId>;
  struct Instance {
    InstanceRecord Record_;
    std::size_t Number_ = 0;
    bool IsDown_ = false;
    bool IsDraining_ = false;
    TimePoint ColdUntil_{};
    std::vector<Key> Running_;
    std::deque<Key> Backlog_;
  };
  struct Attempt {
    std::shared_ptr<const Request> Request_;
    InstanceId Instance_;
    TimePoint SentAt_{};
  };
  struct Call {
    const FakeService *Service_ = nullptr;
    std::size_t Gateway_ = 0;
    TimePoint SentAt_{};
    int Resends_ = 0;
    int Runs_ = 0;
    int Attempts_ = 0;
    bool IsAnswered_ = false;
    bool WasToldNotRun_ = false;
  };
  struct Timed {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Act_;
    bool operator<(const Timed &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };

  static constexpr Duration MeanService = 25ms;
  static constexpr Duration OneWay = 100us;
  static constexpr Duration LoadReportInterval = 500ms;
  static constexpr std::size_t Backlog = 2;
  static constexpr int Domains = 3;
  static constexpr int GreatestResends = 3;

  static FailureDomain domainOf(std::size_t Number) {
    return FailureDomain("d" + std::to_string(Number % Domains));
  }

  void at(TimePoint When, std::function<void()> Act) {
    Timeline_.push({When, ++Order_, std::move(Act)});
  }
  static Duration exponential(Duration Mean, Random &Source) {
    return Duration(static_cast<Duration::rep>(
        -std::log(1 - Source.unit()) * static_cast<double>(Mean.count())));
  }

  bool step() {
    std::size_t Next = Gateways_.size();
    std::optional<TimePoint> Due;
    for (std::size_t Each = 0; Each < Gateways_.size(); ++Each)
      if (auto Deadline = Gateways_[Each].nextDeadline();
          Deadline && (!Due || *Deadline < *Due)) {
        Due = Deadline;
        Next = Each;
      }
    if (!Timeline_.empty() && (!Due || Timeline_.top().At_ < *Due)) {
      Timed First = Timeline_.top();
      Timeline_.pop();
      Now_ = First.At_;
      First.Act_();
      return true;
    }
    if (!Due || *Due > TimePoint(World_.Length_ + 20s))
      return false;
    Now_ = std::max(Now_, *Due);
    std::vector<GatewayEffect> Out;
    Gateways_[Next].advance(Now_, Out);
    perform(Next, Out);
    return true;
  }

  void handle(std::size_t Gateway, const GatewayEvent &Event) {
    std::vector<GatewayEffect> Out;
    Gateways_[Gateway].advance(Now_, Out);
    Gateways_[Gateway].handle(Event, Now_, Out);
    perform(Gateway, Out);
  }
  void perform(std::size_t Gateway, const std::vector<GatewayEffect> &Out) {
    for (const GatewayEffect &Effect : Out)
      std::visit(
          Overloaded{[&](const SendAttempt &Each) { send(Gateway, Each); },
                     [&](const CancelAttempt &Each) {
                       at(Now_ + OneWay,
                          [this, Of = Key(Gateway, Each.Attempt_)] {
                            cancel(Of);
                          });
                     },
                     [&](const AnswerCaller &Each) { answer(Each); },
                     [](const auto &) {}},
          Effect);
  }

  void startService(const FakeService &Service) {
    double PerSecond = Service.Instances_ * Service.Slots_.value() /
                       std::chrono::duration<double>(MeanService).count();
    // What arrives last may be served until its patience ends.
    Figures_.Services_[Service.Name_].Capacity_ =
        PerSecond *
        std::chrono::duration<double>(World_.Length_ + World_.Patience_)
            .count();
    for (int Number = 0; Number < Service.Instances_; ++Number) {
      Instance Started;
      Started.Number_ = static_cast<std::size_t>(Number);
      Started.Record_ = InstanceRecord{
          InstanceId(Service.Name_ + "-" + std::to_string(Number)),
          ServiceName(Service.Name_),
          Endpoint(),
          domainOf(Started.Number_),
          Service.Slots_,
          InstanceState::Serving,
          Incarnation(1)};
      for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
        handle(Gateway, InstanceChanged{Started.Record_});
      InstanceId Id = Started.Record_.Id_;
      Instances_.emplace(Id, std::move(Started));
      at(Now_ + Duration(Random_.below(500000)), [this, Id] { report(Id); });
    }
    Duration Gap(static_cast<Duration::rep>(1e6 / (PerSecond * Service.Load_)));
    at(Now_, [this, &Service, Gap] { arrive(Service, Gap); });
  }
  void arrive(const FakeService &Service, Duration Gap) {
    if (Now_ >= TimePoint(World_.Length_))
      return;
    at(Now_ + exponential(Gap, Arrivals_),
       [this, &Service, Gap] { arrive(Service, Gap); });
    Figures_.Services_[Service.Name_].Offered_ += 1;
    call(Service, Now_, 0);
  }
  void call(const FakeService &Service, TimePoint SentAt, int Resends) {
    auto Sent = std::make_shared<Request>();
    Sent->Id_ = RequestId(std::to_string(Calls_.size()));
    Sent->Service_ = ServiceName(Service.Name_);
    Sent->Target_ = "/" + Sent->Id_.text();
    Sent->Deadline_ = Now_ + World_.Patience_;
    std::size_t Gateway = Random_.below(Gateways_.size());
    Calls_[Sent->Id_] = Call{&Service, Gateway, SentAt, Resends};
    handle(Gateway, RequestReceived{Sent});
  }
  void answer(const AnswerCaller &Given) {
    Call &Of = Calls_.at(Given.Id_);
    if (Of.IsAnswered_)
      ++Figures_.Unanswered_;
    Of.IsAnswered_ = true;
    const auto *Refused = std::get_if<Refusal>(&Given.Answer_);
    Of.WasToldNotRun_ = Refused && Refused->Outcome_ == Outcome::NotRun;
    const auto *Answered = std::get_if<Response>(&Given.Answer_);
    if (Answered && Answered->Status_ < MinServerErrorStatus) {
      Figures_.Services_[Of.Service_->Name_].Good_ += 1;
      Latencies_.push_back(Now_ - Of.SentAt_);
      return;
    }
    if (!World_.CallersResend_ || Of.Resends_ >= GreatestResends)
      return;
    Duration Wait = Refused ? Refused->RetryAfter_.value_or(20ms) : 20ms;
    at(Now_ + Wait,
       [this, Of] { call(*Of.Service_, Of.SentAt_, Of.Resends_ + 1); });
  }

  void report(const InstanceId &Id) {
    if (Now_ >= TimePoint(World_.Length_))
      return;
    const Instance &Given = Instances_.at(Id);
    SlotCount Busy(static_cast<std::uint32_t>(Given.Running_.size()));
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      handle(Gateway, LoadReported{Id, Given.Record_.Service_, Busy});
    at(Now_ + LoadReportInterval, [this, Id] { report(Id); });
  }
  void announce(const InstanceId &Id, InstanceState State) {
    InstanceRecord &Record = Instances_.at(Id).Record_;
    Record.State_ = State;
    Record.Version_ = Record.Version_.next();
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      at(Now_ + Duration(Random_.below(500000)),
         [this, Gateway, Record] { handle(Gateway, InstanceChanged{Record}); });
  }
  void scheduleRestart(const FakeFault &Fault) {
    for (auto &[Id, Given] : Instances_) {
      if (static_cast<int>(Given.Number_) != Fault.Instance_)
        continue;
      Instance *Of = &Given;
      at(TimePoint(Fault.From_), [this, Of] {
        Of->IsDraining_ = true;
        announce(Of->Record_.Id_, InstanceState::Draining);
      });
      at(TimePoint(Fault.From_ + 1s), [this, Of] {
        Of->IsDown_ = true;
        announce(Of->Record_.Id_, InstanceState::Left);
      });
      at(TimePoint(Fault.To_), [this, Of] {
        Of->IsDown_ = Of->IsDraining_ = false;
        Of->ColdUntil_ = Now_ + 2s;
        announce(Of->Record_.Id_, InstanceState::Serving);
      });
    }
  }

  void send(std::size_t Gateway, const SendAttempt &Each) {
    Call &Of = Calls_.at(Each.Request_->Id_);
    ++Figures_.Dispatches_;
    if (Of.Attempts_++ == 0)
      ++Figures_.Dispatched_;
    Key Id(Gateway, Each.Attempt_);
    Attempts_[Id] = Attempt{Each.Request_, Each.Instance_, Now_};
    at(Now_ + OneWay, [this, Id] { reach(Id); });
  }
  void reach(const Key &Id) {
    Instance &Given = Instances_.at(Attempts_.at(Id).Instance_);
    if (Given.IsDown_)
      return end(Id, AttemptResult::ConnectFailed);
    if (Given.Running_.size() >= Given.Record_.Slots_.value())
      ++Figures_.Collisions_;
    if (Given.IsDraining_ || Given.Backlog_.size() >= Backlog)
      return end(Id, AttemptResult::RefusedNotRun);
    Given.Backlog_.push_back(Id);
    startNext(Given);
  }
  void startNext(Instance &Given) {
    while (!Given.Backlog_.empty() &&
           Given.Running_.size() < Given.Record_.Slots_.value()) {
      Key Id = Given.Backlog_.front();
      Given.Backlog_.pop_front();
      Given.Running_.push_back(Id);
      ++Calls_.at(Attempts_.at(Id).Request_->Id_).Runs_;
      Duration Time = MeanService / 2 + exponential(MeanService / 2, Random_);
      double Factor = Now_ < Given.ColdUntil_ ? 3 : 1;
      bool Fails = false;
      for (const FakeFault &Each : World_.Faults_) {
        if ((Each.Instance_ != FakeFault::Everywhere &&
             Each.Instance_ != static_cast<int>(Given.Number_)) ||
            Now_ < TimePoint(Each.From_) || Now_ >= TimePoint(Each.To_))
          continue;
        if (Each.Kind_ == FaultKind::Slow)
          Factor = Each.Amount_;
        Fails = Fails || (Each.Kind_ == FaultKind::Errors &&
                          Random_.unit() < Each.Amount_);
      }
      // Failures are quick, which attracts load to a broken instance.
      Time = Fails ? Duration(2ms)
                   : Duration(static_cast<Duration::rep>(
                         static_cast<double>(Time.count()) * Factor));
      StatusCode Code(Fails ? 500 : 200);
      at(Now_ + Time, [this, Id, Code] {
        if (Attempts_.contains(Id))
          end(Id, AttemptResult::Answered, Code);
      });
    }
  }
  void cancel(const Key &Id) {
    if (Attempts_.contains(Id))
      end(Id, AttemptResult::Cancelled);
  }
  void end(const Key &Id, AttemptResult Result, StatusCode Code = {}) {
    Attempt Of = Attempts_.at(Id);
    Attempts_.erase(Id);
    Instance &Given = Instances_.at(Of.Instance_);
    std::erase(Given.Running_, Id);
    std::erase(Given.Backlog_, Id);
    startNext(Given);
    at(Now_ + OneWay, [this, Id, Result, Code, SentAt = Of.SentAt_] {
      AttemptOutcome Ended;
      Ended.Result_ = Result;
      Ended.Response_.Status_ = Code;
      Ended.Elapsed_ = Now_ - SentAt;
      handle(Id.first, AttemptFinished{Id.second, Ended});
    });
  }

  FleetFigures summarize() {
    for (const auto &[Id, Of] : Calls_) {
      bool IsRepeatable = Of.Service_->Rules_.isRepeatable();
      Figures_.DoubledRuns_ += !IsRepeatable && Of.Runs_ > 1 ? 1 : 0;
      Figures_.FalseNotRun_ += Of.WasToldNotRun_ && Of.Runs_ > 0 ? 1 : 0;
      Figures_.Unanswered_ += Of.IsAnswered_ ? 0 : 1;
    }
    for (const FakeService &Each : World_.Services_) {
      const ServiceFigures &Of = Figures_.Services_[Each.Name_];
      Figures_.Requests_ += Of.Offered_;
      Figures_.Good_ += Of.Good_;
      Figures_.WeightedGood_ += Of.Good_ * Each.Rules_.weight().value();
      Figures_.WeightedOffered_ += Of.Offered_ * Each.Rules_.weight().value();
    }
    // A request that got no good answer counts with the caller's patience.
    Latencies_.resize(static_cast<std::size_t>(Figures_.Requests_),
                      World_.Patience_);
    std::sort(Latencies_.begin(), Latencies_.end());
    Figures_.Median_ = Latencies_[Latencies_.size() / 2];
    Figures_.Tail_ = Latencies_[Latencies_.size() * 99 / 100];
    return Figures_;
  }

  const FakeWorld &World_;
  Random Random_;
  /// Apart, so that every kind of gateway gets the same arrivals.
  Random Arrivals_;
  TimePoint Now_{};
  std::uint64_t Order_ = 0;
  std::vector<Role> Gateways_;
  std::priority_queue<Timed> Timeline_;
  std::map<InstanceId, Instance> Instances_;
  std::map<Key, Attempt> Attempts_;
  std::map<RequestId, Call> Calls_;
  std::vector<Duration> Latencies_;
  FleetFigures Figures_;
};

} // namespace jaybridge
