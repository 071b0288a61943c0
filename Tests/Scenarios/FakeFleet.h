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

/// A service and the pool of fake instances that serve it.
struct FakeService {
  std::string Name_;
  Profile Profile_;
  int InstanceCount_ = 7;
  SlotCount Slots_ = SlotCount(4);
  /// Offered load as a fraction of the load that the slots can serve.
  double OfferedLoad_ = 0.6;
};

enum class FaultKind { Slow, Errors, Restart, Rejections };

/// A fault of one instance of every service, of all instances, or of the first
/// ones, from Start_ to End_, counted from the start of the run.
struct FakeFault {
  static constexpr int AllInstances = -1;
  FaultKind Kind_ = FaultKind::Slow;
  int Instance_ = AllInstances;
  Duration Start_{};
  Duration End_{};
  /// Factor by which the service time grows (Slow), or probability that a
  /// request fails (Errors) or is rejected as not run (Rejections).
  double Magnitude_ = 0;
  /// Instances that Rejections concerns, from the first one on.
  int InstanceCount_ = 0;
};

/// Settings of one simulated run.
struct FleetScenario {
  const char *Name_;
  int GatewayCount_ = 3;
  std::vector<FakeService> Services_;
  std::vector<FakeFault> Faults_{};
  /// True when callers send a failed request again, up to three times.
  bool IsResendEnabled_ = false;
  /// Requests arrive during this time from the start of the run.
  Duration ArrivalDuration_ = 10s;
  /// Time that callers wait for an answer.
  Duration Patience_ = 400ms;
};

/// Measurements of one service. A request that its caller sends again counts
/// once.
struct ServiceStatistics {
  double Offered_ = 0;
  /// Answered with a status below 500.
  double Succeeded_ = 0;
  /// Requests that the slots can serve in the whole run.
  double Capacity_ = 0;
};

/// Measurements of one run.
struct FleetStatistics {
  std::map<std::string, ServiceStatistics> Services_;
  double Requests_ = 0;
  double Succeeded_ = 0;
  /// Requests with at least one attempt; a resend counts as a request of its
  /// own.
  double DispatchedRequests_ = 0;
  double DispatchedAttempts_ = 0;
  /// Attempts that reached an instance whose slots were all in use.
  double Collisions_ = 0;
  /// Attempts that an instance rejected as not run.
  double Rejections_ = 0;
  /// Whole spans of 2 s between two attempts at an instance.
  double StarvedSpans_ = 0;
  /// Requests that are not repeatable and ran more than once.
  double DuplicateRuns_ = 0;
  /// Requests that were refused as not run although they ran.
  double FalseNotRun_ = 0;
  /// Missing answers, and answers beyond the first one to a request.
  double AnswerCountErrors_ = 0;
  double WeightedSucceeded_ = 0;
  double WeightedOffered_ = 0;
  Duration MedianLatency_{};
  Duration P99Latency_{};

  /// Successful requests as a fraction of all requests.
  double successRatio() const { return Succeeded_ / Requests_; }
  /// Attempts per request that was dispatched.
  double amplification() const {
    return DispatchedAttempts_ / DispatchedRequests_;
  }
};

/// Simulates, in logical time, gateways of one type in front of fake instances.
/// An instance has slots and a short backlog, and refuses attempts that exceed
/// both.
template <DecisionRole Role> class FakeFleet {
public:
  using Factory = std::function<Role(int Gateway, RandomSeed Seed)>;

  FakeFleet(const FleetScenario &Scenario, const Factory &CreateGateway,
            RandomSeed Seed)
      : Scenario_(Scenario), Random_(Seed),
        ArrivalRandom_(RandomSeed(Random_.next())) {
    for (int Number = 0; Number < Scenario.GatewayCount_; ++Number)
      Gateways_.push_back(CreateGateway(Number, RandomSeed(Random_.next())));
    std::vector<ServicePolicy> Policies;
    for (const FakeService &Service : Scenario.Services_)
      Policies.push_back({ServiceName(Service.Name_), Service.Profile_,
                          ConfigurationVersion(1)});
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      handle(Gateway, CatalogChanged{ConfigurationVersion(1), Policies});
    for (const FakeService &Service : Scenario.Services_)
      startService(Service);
    for (const FakeFault &Fault : Scenario.Faults_)
      if (Fault.Kind_ == FaultKind::Restart)
        scheduleRestart(Fault);
  }

  FleetStatistics run() {
    while (step()) {
    }
    return summarize();
  }

private:
  using AttemptKey = std::pair<std::size_t, AttemptId>;
  struct Instance {
    InstanceRecord Record_;
    std::size_t Number_ = 0;
    bool IsStopped_ = false;
    bool IsDraining_ = false;
    TimePoint ColdUntil_{};
    TimePoint LastAttemptAt_{};
    std::vector<AttemptKey> RunningAttempts_;
    std::deque<AttemptKey> QueuedAttempts_;
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
    bool WasRefusedNotRun_ = false;
  };
  struct TimedAction {
    TimePoint At_;
    std::uint64_t Sequence_ = 0;
    std::function<void()> Action_;
    bool operator<(const TimedAction &Right) const {
      return std::pair(At_, Sequence_) > std::pair(Right.At_, Right.Sequence_);
    }
  };

  static constexpr Duration MeanServiceTime = 25ms;
  static constexpr Duration OneWayDelay = 100us;
  static constexpr Duration LoadReportInterval = 500ms;
  static constexpr std::size_t MaxBacklog = 2;
  static constexpr int DomainCount = 3;
  static constexpr int MaxResends = 3;
  static constexpr Duration StarvationSpan = 2s;

  static FailureDomain domainOf(std::size_t Number) {
    return FailureDomain("d" + std::to_string(Number % DomainCount));
  }

  void schedule(TimePoint When, std::function<void()> Action) {
    Timeline_.push({When, ++Sequence_, std::move(Action)});
  }
  static Duration drawExponential(Duration Mean, Random &Generator) {
    return Duration(static_cast<Duration::rep>(
        -std::log(1 - Generator.unit()) * static_cast<double>(Mean.count())));
  }

  bool step() {
    std::size_t NextGateway = Gateways_.size();
    std::optional<TimePoint> NextDeadline;
    for (std::size_t Index = 0; Index < Gateways_.size(); ++Index)
      if (auto Deadline = Gateways_[Index].nextDeadline();
          Deadline && (!NextDeadline || *Deadline < *NextDeadline)) {
        NextDeadline = Deadline;
        NextGateway = Index;
      }
    if (!Timeline_.empty() &&
        (!NextDeadline || Timeline_.top().At_ < *NextDeadline)) {
      TimedAction NextAction = Timeline_.top();
      Timeline_.pop();
      Now_ = NextAction.At_;
      NextAction.Action_();
      return true;
    }
    if (!NextDeadline ||
        *NextDeadline > TimePoint(Scenario_.ArrivalDuration_ + 20s))
      return false;
    Now_ = std::max(Now_, *NextDeadline);
    std::vector<GatewayEffect> Effects;
    Gateways_[NextGateway].advance(Now_, Effects);
    perform(NextGateway, Effects);
    return true;
  }

  void handle(std::size_t Gateway, const GatewayEvent &Event) {
    std::vector<GatewayEffect> Effects;
    Gateways_[Gateway].advance(Now_, Effects);
    Gateways_[Gateway].handle(Event, Now_, Effects);
    perform(Gateway, Effects);
  }
  void perform(std::size_t Gateway, const std::vector<GatewayEffect> &Effects) {
    for (const GatewayEffect &Effect : Effects)
      std::visit(
          Overloaded{
              [&](const SendAttempt &Sent) { sendAttempt(Gateway, Sent); },
              [&](const CancelAttempt &Cancelled) {
                schedule(Now_ + OneWayDelay,
                         [this, Id = AttemptKey(Gateway, Cancelled.Attempt_)] {
                           cancelAttempt(Id);
                         });
              },
              [&](const AnswerCaller &Answered) { receiveAnswer(Answered); },
              [](const auto &) {}},
          Effect);
  }

  void startService(const FakeService &Service) {
    double ServiceRate = Service.InstanceCount_ * Service.Slots_.value() /
                         std::chrono::duration<double>(MeanServiceTime).count();
    // Requests that arrive last can be served until their patience ends.
    Statistics_.Services_[Service.Name_].Capacity_ =
        ServiceRate * std::chrono::duration<double>(Scenario_.ArrivalDuration_ +
                                                    Scenario_.Patience_)
                          .count();
    for (int Number = 0; Number < Service.InstanceCount_; ++Number) {
      Instance NewInstance;
      NewInstance.Number_ = static_cast<std::size_t>(Number);
      NewInstance.Record_ = InstanceRecord{
          InstanceId(Service.Name_ + "-" + std::to_string(Number)),
          ServiceName(Service.Name_),
          Endpoint(),
          domainOf(NewInstance.Number_),
          Service.Slots_,
          InstanceState::Serving,
          Incarnation(1)};
      for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
        handle(Gateway, InstanceChanged{NewInstance.Record_});
      InstanceId Id = NewInstance.Record_.Id_;
      Instances_.emplace(Id, std::move(NewInstance));
      schedule(Now_ + Duration(Random_.below(500000)),
               [this, Id] { reportLoad(Id); });
    }
    Duration MeanInterval(
        static_cast<Duration::rep>(1e6 / (ServiceRate * Service.OfferedLoad_)));
    schedule(Now_, [this, &Service, MeanInterval] {
      generateArrivals(Service, MeanInterval);
    });
  }
  void generateArrivals(const FakeService &Service, Duration MeanInterval) {
    if (Now_ >= TimePoint(Scenario_.ArrivalDuration_))
      return;
    schedule(Now_ + drawExponential(MeanInterval, ArrivalRandom_),
             [this, &Service, MeanInterval] {
               generateArrivals(Service, MeanInterval);
             });
    Statistics_.Services_[Service.Name_].Offered_ += 1;
    sendRequest(Service, Now_, 0);
  }
  void sendRequest(const FakeService &Service, TimePoint FirstSentAt,
                   int Resends) {
    auto NewRequest = std::make_shared<Request>();
    NewRequest->Id_ = RequestId(std::to_string(Calls_.size()));
    NewRequest->Service_ = ServiceName(Service.Name_);
    NewRequest->Target_ = "/" + NewRequest->Id_.text();
    NewRequest->Deadline_ = Now_ + Scenario_.Patience_;
    std::size_t Gateway = Random_.below(Gateways_.size());
    Calls_[NewRequest->Id_] = Call{&Service, Gateway, FirstSentAt, Resends};
    handle(Gateway, RequestReceived{NewRequest});
  }
  void receiveAnswer(const AnswerCaller &Answer) {
    Call &AnsweredCall = Calls_.at(Answer.Id_);
    if (AnsweredCall.IsAnswered_)
      ++Statistics_.AnswerCountErrors_;
    AnsweredCall.IsAnswered_ = true;
    const auto *RefusalAnswer = std::get_if<Refusal>(&Answer.Answer_);
    AnsweredCall.WasRefusedNotRun_ =
        RefusalAnswer && RefusalAnswer->Outcome_ == Outcome::NotRun;
    const auto *ResponseAnswer = std::get_if<Response>(&Answer.Answer_);
    if (ResponseAnswer && ResponseAnswer->Status_ < MinServerErrorStatus) {
      Statistics_.Services_[AnsweredCall.Service_->Name_].Succeeded_ += 1;
      Latencies_.push_back(Now_ - AnsweredCall.SentAt_);
      return;
    }
    if (!Scenario_.IsResendEnabled_ || AnsweredCall.Resends_ >= MaxResends)
      return;
    Duration Delay =
        RefusalAnswer ? RefusalAnswer->RetryAfter_.value_or(20ms) : 20ms;
    schedule(Now_ + Delay, [this, AnsweredCall] {
      sendRequest(*AnsweredCall.Service_, AnsweredCall.SentAt_,
                  AnsweredCall.Resends_ + 1);
    });
  }

  void reportLoad(const InstanceId &Id) {
    if (Now_ >= TimePoint(Scenario_.ArrivalDuration_))
      return;
    const Instance &Reporting = Instances_.at(Id);
    SlotCount BusySlots(
        static_cast<std::uint32_t>(Reporting.RunningAttempts_.size()));
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      handle(Gateway, LoadReported{Id, Reporting.Record_.Service_, BusySlots});
    schedule(Now_ + LoadReportInterval, [this, Id] { reportLoad(Id); });
  }
  void announceState(const InstanceId &Id, InstanceState State) {
    InstanceRecord &Record = Instances_.at(Id).Record_;
    Record.State_ = State;
    Record.Version_ = Record.Version_.next();
    for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
      schedule(Now_ + Duration(Random_.below(500000)), [this, Gateway, Record] {
        handle(Gateway, InstanceChanged{Record});
      });
  }
  void scheduleRestart(const FakeFault &Fault) {
    for (auto &[Id, Candidate] : Instances_) {
      if (static_cast<int>(Candidate.Number_) != Fault.Instance_)
        continue;
      Instance *Restarted = &Candidate;
      schedule(TimePoint(Fault.Start_), [this, Restarted] {
        Restarted->IsDraining_ = true;
        announceState(Restarted->Record_.Id_, InstanceState::Draining);
      });
      schedule(TimePoint(Fault.Start_ + 1s), [this, Restarted] {
        Restarted->IsStopped_ = true;
        announceState(Restarted->Record_.Id_, InstanceState::Left);
      });
      schedule(TimePoint(Fault.End_), [this, Restarted] {
        Restarted->IsStopped_ = Restarted->IsDraining_ = false;
        Restarted->ColdUntil_ = Now_ + 2s;
        announceState(Restarted->Record_.Id_, InstanceState::Serving);
      });
    }
  }

  void sendAttempt(std::size_t Gateway, const SendAttempt &Sent) {
    Call &SentCall = Calls_.at(Sent.Request_->Id_);
    ++Statistics_.DispatchedAttempts_;
    if (SentCall.Attempts_++ == 0)
      ++Statistics_.DispatchedRequests_;
    AttemptKey Id(Gateway, Sent.Attempt_);
    Attempts_[Id] = Attempt{Sent.Request_, Sent.Instance_, Now_};
    schedule(Now_ + OneWayDelay, [this, Id] { receiveAttempt(Id); });
  }
  void receiveAttempt(const AttemptKey &Id) {
    Instance &Target = Instances_.at(Attempts_.at(Id).Instance_);
    if (Target.IsStopped_)
      return finishAttempt(Id, AttemptResult::ConnectFailed);
    if (Target.RunningAttempts_.size() >= Target.Record_.Slots_.value())
      ++Statistics_.Collisions_;
    noteAttempt(Target);
    if (Target.IsDraining_ || Target.QueuedAttempts_.size() >= MaxBacklog ||
        isRejecting(Target)) {
      ++Statistics_.Rejections_;
      return finishAttempt(Id, AttemptResult::RefusedNotRun);
    }
    Target.QueuedAttempts_.push_back(Id);
    startQueuedAttempts(Target);
  }
  bool isRejecting(const Instance &Target) {
    for (const FakeFault &Fault : Scenario_.Faults_)
      if (Fault.Kind_ == FaultKind::Rejections &&
          static_cast<int>(Target.Number_) < Fault.InstanceCount_ &&
          Now_ >= TimePoint(Fault.Start_) && Now_ < TimePoint(Fault.End_))
        return Random_.unit() < Fault.Magnitude_;
    return false;
  }
  void noteAttempt(Instance &Target) {
    if (Now_ < TimePoint(Scenario_.ArrivalDuration_))
      Statistics_.StarvedSpans_ +=
          static_cast<double>((Now_ - Target.LastAttemptAt_) / StarvationSpan);
    Target.LastAttemptAt_ = Now_;
  }
  void startQueuedAttempts(Instance &Target) {
    while (!Target.QueuedAttempts_.empty() &&
           Target.RunningAttempts_.size() < Target.Record_.Slots_.value()) {
      AttemptKey Id = Target.QueuedAttempts_.front();
      Target.QueuedAttempts_.pop_front();
      Target.RunningAttempts_.push_back(Id);
      ++Calls_.at(Attempts_.at(Id).Request_->Id_).Runs_;
      Duration ServiceTime =
          MeanServiceTime / 2 + drawExponential(MeanServiceTime / 2, Random_);
      double Slowdown = Now_ < Target.ColdUntil_ ? 3 : 1;
      bool Fails = false;
      for (const FakeFault &Fault : Scenario_.Faults_) {
        if ((Fault.Instance_ != FakeFault::AllInstances &&
             Fault.Instance_ != static_cast<int>(Target.Number_)) ||
            Now_ < TimePoint(Fault.Start_) || Now_ >= TimePoint(Fault.End_))
          continue;
        if (Fault.Kind_ == FaultKind::Slow)
          Slowdown = Fault.Magnitude_;
        Fails = Fails || (Fault.Kind_ == FaultKind::Errors &&
                          Random_.unit() < Fault.Magnitude_);
      }
      // Failures take only 2 ms, which attracts load to a faulty instance.
      ServiceTime =
          Fails ? Duration(2ms)
                : Duration(static_cast<Duration::rep>(
                      static_cast<double>(ServiceTime.count()) * Slowdown));
      StatusCode Code(Fails ? 500 : 200);
      schedule(Now_ + ServiceTime, [this, Id, Code] {
        if (Attempts_.contains(Id))
          finishAttempt(Id, AttemptResult::Answered, Code);
      });
    }
  }
  void cancelAttempt(const AttemptKey &Id) {
    if (Attempts_.contains(Id))
      finishAttempt(Id, AttemptResult::Cancelled);
  }
  void finishAttempt(const AttemptKey &Id, AttemptResult Result,
                     StatusCode Code = {}) {
    Attempt Finished = Attempts_.at(Id);
    Attempts_.erase(Id);
    Instance &Target = Instances_.at(Finished.Instance_);
    std::erase(Target.RunningAttempts_, Id);
    std::erase(Target.QueuedAttempts_, Id);
    startQueuedAttempts(Target);
    schedule(Now_ + OneWayDelay,
             [this, Id, Result, Code, SentAt = Finished.SentAt_] {
               AttemptOutcome Ended;
               Ended.Result_ = Result;
               Ended.Response_.Status_ = Code;
               Ended.Elapsed_ = Now_ - SentAt;
               handle(Id.first, AttemptFinished{Id.second, Ended});
             });
  }

  FleetStatistics summarize() {
    for (const auto &[Id, Finished] : Calls_) {
      bool IsRepeatable = Finished.Service_->Profile_.isRepeatable();
      Statistics_.DuplicateRuns_ += !IsRepeatable && Finished.Runs_ > 1 ? 1 : 0;
      Statistics_.FalseNotRun_ +=
          Finished.WasRefusedNotRun_ && Finished.Runs_ > 0 ? 1 : 0;
      Statistics_.AnswerCountErrors_ += Finished.IsAnswered_ ? 0 : 1;
    }
    for (const FakeService &Service : Scenario_.Services_) {
      const ServiceStatistics &Measured = Statistics_.Services_[Service.Name_];
      Statistics_.Requests_ += Measured.Offered_;
      Statistics_.Succeeded_ += Measured.Succeeded_;
      Statistics_.WeightedSucceeded_ +=
          Measured.Succeeded_ * Service.Profile_.weight().value();
      Statistics_.WeightedOffered_ +=
          Measured.Offered_ * Service.Profile_.weight().value();
    }
    // The latency of an unsuccessful request is the caller's patience.
    Latencies_.resize(static_cast<std::size_t>(Statistics_.Requests_),
                      Scenario_.Patience_);
    std::sort(Latencies_.begin(), Latencies_.end());
    Statistics_.MedianLatency_ = Latencies_[Latencies_.size() / 2];
    Statistics_.P99Latency_ = Latencies_[Latencies_.size() * 99 / 100];
    return Statistics_;
  }

  const FleetScenario &Scenario_;
  Random Random_;
  /// Separate from Random_, so that every type of gateway gets the same
  /// arrivals.
  Random ArrivalRandom_;
  TimePoint Now_{};
  std::uint64_t Sequence_ = 0;
  std::vector<Role> Gateways_;
  std::priority_queue<TimedAction> Timeline_;
  std::map<InstanceId, Instance> Instances_;
  std::map<AttemptKey, Attempt> Attempts_;
  std::map<RequestId, Call> Calls_;
  std::vector<Duration> Latencies_;
  FleetStatistics Statistics_;
};

} // namespace jaybridge
