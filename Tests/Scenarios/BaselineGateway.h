#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibRouting/GatewayMessages.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>
#include <map>
#include <set>

namespace jaybridge {

/// Instances of one service as a baseline gateway sees them. The cost of an
/// instance is the number of attempts that this gateway is running on it.
struct BaselineCandidates {
  struct Instance {
    InstanceRecord Record_;
    unsigned RunningAttempts_ = 0;
    unsigned ConsecutiveFailures_ = 0;
    TimePoint EjectedUntil_{};
  };

  std::size_t count() const { return Instances_.size(); }
  std::size_t localCount() const { return 0; }
  std::size_t localPosition(std::size_t LocalIndex) const { return LocalIndex; }
  std::size_t excludedCount() const { return count(); }
  bool isExcluded(std::size_t Position) const {
    const Instance &Candidate = Instances_[Position];
    return Candidate.Record_.State_ != InstanceState::Serving ||
           Now_ < Candidate.EjectedUntil_;
  }
  SelectionCost cost(std::size_t Position) const {
    return SelectionCost(Instances_[Position].RunningAttempts_);
  }

  std::vector<Instance> Instances_;
  TimePoint Now_{};
};

/// Cycles through the instances that are not excluded.
struct RoundRobin {
  /// Consecutive failures after which an instance is ejected; 0 disables
  /// ejection.
  static constexpr unsigned EjectionThreshold = 5;

  explicit RoundRobin(RandomSeed Seed) : Counter_(Seed.value()) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Candidates) {
    for (std::size_t Checked = 0; Checked < Candidates.count(); ++Checked)
      if (std::size_t Position = ++Counter_ % Candidates.count();
          !Candidates.isExcluded(Position))
        return Position;
    return std::nullopt;
  }

  std::size_t Counter_;
};

/// Draws two random instances that are not excluded and chooses the less
/// loaded one. Never ejects an instance.
struct LeastLoadedOfTwo {
  static constexpr unsigned EjectionThreshold = 0;

  explicit LeastLoadedOfTwo(RandomSeed Seed) : Random_(Seed) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Candidates) {
    std::vector<std::size_t> Available;
    for (std::size_t Position = 0; Position < Candidates.count(); ++Position)
      if (!Candidates.isExcluded(Position))
        Available.push_back(Position);
    if (Available.empty())
      return std::nullopt;
    std::size_t First = Available[Random_.below(Available.size())];
    std::size_t Second = Available[Random_.below(Available.size())];
    return Candidates.cost(Second) < Candidates.cost(First) ? Second : First;
  }

  Random Random_;
};

/// A conventional load balancer, the baseline of the scenarios. It has neither
/// a queue nor concurrency limits. A failed attempt is retried up to twice when
/// its request is repeatable or provably did not run. Instances are ejected as
/// the policy configures.
template <SelectionPolicy<BaselineCandidates> Policy> class BaselineGateway {
public:
  using Event = GatewayEvent;
  using Effect = GatewayEffect;
  using Effects = std::vector<Effect>;

  explicit BaselineGateway(RandomSeed Seed) : Policy_(Seed) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Emitted) {
    std::visit(
        [&](const auto &Received) { handleEvent(Received, Now, Emitted); },
        Incoming);
  }
  void advance(TimePoint Now, Effects &Emitted) {
    while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
      AttemptId Expired = Deadlines_.begin()->second;
      Deadlines_.erase(Deadlines_.begin());
      auto Found = Attempts_.find(Expired);
      if (Found == Attempts_.end() || Found->second.IsAnswered_)
        continue;
      Found->second.IsAnswered_ = true;
      Emitted.emplace_back(CancelAttempt{Expired});
      refuseCall(*Found->second.Request_, Outcome::Unknown, Emitted);
    }
  }
  std::optional<TimePoint> nextDeadline() const {
    if (Deadlines_.empty())
      return std::nullopt;
    return Deadlines_.begin()->first;
  }

private:
  static constexpr int MaxRetries = 2;
  static constexpr Duration EjectionDuration = 10s;

  struct RunningAttempt {
    std::shared_ptr<const Request> Request_;
    std::size_t Position_ = 0;
    int Retries_ = 0;
    bool IsAnswered_ = false;
  };
  struct Service {
    std::optional<Profile> Profile_;
    BaselineCandidates Candidates_;
  };

  void handleEvent(const RequestReceived &Incoming, TimePoint Now,
                   Effects &Emitted) {
    sendAttempt(Incoming.Request_, 0, Now, Emitted);
  }
  void handleEvent(const AttemptFinished &Incoming, TimePoint Now,
                   Effects &Emitted) {
    auto Node = Attempts_.extract(Incoming.Attempt_);
    const RunningAttempt &Ended = Node.mapped();
    const AttemptOutcome &Result = Incoming.Outcome_;
    Service &Target = Services_[Ended.Request_->Service_];
    auto &Instance = Target.Candidates_.Instances_[Ended.Position_];
    --Instance.RunningAttempts_;
    bool IsSuccess = Result.Result_ == AttemptResult::Answered &&
                     Result.Response_.Status_ < MinServerErrorStatus;
    Instance.ConsecutiveFailures_ =
        IsSuccess ? 0 : Instance.ConsecutiveFailures_ + 1;
    if (Policy::EjectionThreshold > 0 &&
        Instance.ConsecutiveFailures_ >= Policy::EjectionThreshold) {
      Instance.EjectedUntil_ = Now + EjectionDuration;
      Instance.ConsecutiveFailures_ = 0;
    }
    if (Ended.IsAnswered_)
      return;
    bool CanRetry =
        isProvablyNotRun(Result.Result_) || Target.Profile_->isRepeatable();
    if (!IsSuccess && CanRetry && Ended.Retries_ < MaxRetries)
      return sendAttempt(Ended.Request_, Ended.Retries_ + 1, Now, Emitted);
    if (Result.Result_ == AttemptResult::Answered)
      Emitted.emplace_back(
          AnswerCaller{Ended.Request_->Id_, Result.Response_, {}});
    else
      refuseCall(*Ended.Request_, Outcome::Unknown, Emitted);
  }
  void handleEvent(const CatalogChanged &Incoming, TimePoint /*Now*/,
                   Effects & /*Emitted*/) {
    for (const ServicePolicy &Assigned : Incoming.Policies_)
      Services_[Assigned.Service_].Profile_ = Assigned.Profile_;
  }
  void handleEvent(const InstanceChanged &Incoming, TimePoint /*Now*/,
                   Effects & /*Emitted*/) {
    auto &Candidates =
        Services_[Incoming.Record_.Service_].Candidates_.Instances_;
    auto Found = std::find_if(
        Candidates.begin(), Candidates.end(), [&](const auto &Candidate) {
          return Candidate.Record_.Id_ == Incoming.Record_.Id_;
        });
    if (Found == Candidates.end())
      Candidates.push_back({Incoming.Record_});
    else
      Found->Record_ = Incoming.Record_;
  }
  template <typename IgnoredEvent>
  void handleEvent(const IgnoredEvent & /*Incoming*/, TimePoint /*Now*/,
                   Effects & /*Emitted*/) {}

  void sendAttempt(const std::shared_ptr<const Request> &Call, int Retries,
                   TimePoint Now, Effects &Emitted) {
    BaselineCandidates &Candidates = Services_[Call->Service_].Candidates_;
    Candidates.Now_ = Now;
    std::optional<std::size_t> Chosen = Policy_.choose(Candidates);
    if (!Chosen)
      return refuseCall(
          *Call, Retries == 0 ? Outcome::NotRun : Outcome::Unknown, Emitted);
    ++Candidates.Instances_[*Chosen].RunningAttempts_;
    LastAttempt_ = LastAttempt_.next();
    Attempts_.emplace(LastAttempt_, RunningAttempt{Call, *Chosen, Retries});
    Deadlines_.emplace(*Call->Deadline_, LastAttempt_);
    const InstanceRecord &Target = Candidates.Instances_[*Chosen].Record_;
    Emitted.emplace_back(SendAttempt{LastAttempt_, Target.Id_, Target.Address_,
                                     Call, *Call->Deadline_});
  }
  void refuseCall(const Request &Call, Outcome RunOutcome, Effects &Emitted) {
    Emitted.emplace_back(AnswerCaller{
        Call.Id_,
        Refusal{RunOutcome, RefusalReason::UpstreamUnavailable, {}, {}},
        {}});
  }

  Policy Policy_;
  AttemptId LastAttempt_;
  std::map<ServiceName, Service> Services_;
  std::map<AttemptId, RunningAttempt> Attempts_;
  std::set<std::pair<TimePoint, AttemptId>> Deadlines_;
};

} // namespace jaybridge
