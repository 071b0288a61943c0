#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibRouting/GatewayMessages.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>
#include <map>
#include <set>

namespace jaybridge {

/// The instances of a baseline gateway; the cost is the load of its own.
struct BaselineList {
  struct Instance {
    InstanceRecord Record_;
    unsigned InUse_ = 0;
    unsigned FailuresInRow_ = 0;
    TimePoint EjectedUntil_{};
  };

  std::size_t count() const { return Instances_.size(); }
  std::size_t localCount() const { return 0; }
  std::size_t localPosition(std::size_t Local) const { return Local; }
  std::size_t excludedCount() const { return count(); }
  bool isExcluded(std::size_t Position) const {
    const Instance &Given = Instances_[Position];
    return Given.Record_.State_ != InstanceState::Serving ||
           Now_ < Given.EjectedUntil_;
  }
  SelectionCost cost(std::size_t Position) const {
    return SelectionCost(Instances_[Position].InUse_);
  }

  std::vector<Instance> Instances_;
  TimePoint Now_{};
};

/// Takes the instances in turn.
struct RoundRobin {
  /// Failures in a row after which an instance is ejected; 0 for never.
  static constexpr unsigned FailuresBeforeEjection = 5;

  explicit RoundRobin(RandomSeed Seed) : Next_(Seed.value()) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Given) {
    for (std::size_t Step = 0; Step < Given.count(); ++Step)
      if (std::size_t Position = ++Next_ % Given.count();
          !Given.isExcluded(Position))
        return Position;
    return std::nullopt;
  }

  std::size_t Next_;
};

/// The less loaded of two random instances.
struct LeastLoadedOfTwo {
  static constexpr unsigned FailuresBeforeEjection = 0;

  explicit LeastLoadedOfTwo(RandomSeed Seed) : Random_(Seed) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Given) {
    std::vector<std::size_t> Open;
    for (std::size_t Each = 0; Each < Given.count(); ++Each)
      if (!Given.isExcluded(Each))
        Open.push_back(Each);
    if (Open.empty())
      return std::nullopt;
    std::size_t First = Open[Random_.below(Open.size())];
    std::size_t Second = Open[Random_.below(Open.size())];
    return Given.cost(Second) < Given.cost(First) ? Second : First;
  }

  Random Random_;
};

/// What a plain balancer does: no queue, no limits, two retries of whatever
/// may be repeated, and the ejection of its policy.
template <SelectionPolicy<BaselineList> Policy> class BaselineGateway {
public:
  using Event = GatewayEvent;
  using Effect = GatewayEffect;
  using Effects = std::vector<Effect>;

  explicit BaselineGateway(RandomSeed Seed) : Chooser_(Seed) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
  }
  void advance(TimePoint Now, Effects &Out) {
    while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
      AttemptId Late = Deadlines_.begin()->second;
      Deadlines_.erase(Deadlines_.begin());
      auto Found = Attempts_.find(Late);
      if (Found == Attempts_.end() || Found->second.IsAnswered_)
        continue;
      Found->second.IsAnswered_ = true;
      Out.emplace_back(CancelAttempt{Late});
      refuse(*Found->second.Request_, Outcome::Unknown, Out);
    }
  }
  std::optional<TimePoint> nextDeadline() const {
    if (Deadlines_.empty())
      return std::nullopt;
    return Deadlines_.begin()->first;
  }

private:
  static constexpr int GreatestRetries = 2;
  static constexpr Duration EjectionTime = 10s;

  struct Running {
    std::shared_ptr<const Request> Request_;
    std::size_t Position_ = 0;
    int Retries_ = 0;
    bool IsAnswered_ = false;
  };
  struct Service {
    std::optional<Profile> Rules_;
    BaselineList List_;
  };

  void on(const RequestReceived &Incoming, TimePoint Now, Effects &Out) {
    send(Incoming.Request_, 0, Now, Out);
  }
  void on(const AttemptFinished &Incoming, TimePoint Now, Effects &Out) {
    auto Node = Attempts_.extract(Incoming.Attempt_);
    const Running &Ended = Node.mapped();
    const AttemptOutcome &Result = Incoming.Outcome_;
    Service &Given = Services_[Ended.Request_->Service_];
    auto &Instance = Given.List_.Instances_[Ended.Position_];
    --Instance.InUse_;
    bool IsGood = Result.Result_ == AttemptResult::Answered &&
                  Result.Response_.Status_ < MinServerErrorStatus;
    Instance.FailuresInRow_ = IsGood ? 0 : Instance.FailuresInRow_ + 1;
    if (Policy::FailuresBeforeEjection > 0 &&
        Instance.FailuresInRow_ >= Policy::FailuresBeforeEjection) {
      Instance.EjectedUntil_ = Now + EjectionTime;
      Instance.FailuresInRow_ = 0;
    }
    if (Ended.IsAnswered_)
      return;
    bool CanRetry =
        isProvablyNotRun(Result.Result_) || Given.Rules_->isRepeatable();
    if (!IsGood && CanRetry && Ended.Retries_ < GreatestRetries)
      return send(Ended.Request_, Ended.Retries_ + 1, Now, Out);
    if (Result.Result_ == AttemptResult::Answered)
      Out.emplace_back(AnswerCaller{Ended.Request_->Id_, Result.Response_, {}});
    else
      refuse(*Ended.Request_, Outcome::Unknown, Out);
  }
  void on(const CatalogChanged &Incoming, TimePoint /*Now*/,
          Effects & /*Out*/) {
    for (const ServicePolicy &Each : Incoming.Policies_)
      Services_[Each.Service_].Rules_ = Each.Profile_;
  }
  void on(const InstanceChanged &Incoming, TimePoint /*Now*/,
          Effects & /*Out*/) {
    auto &Known = Services_[Incoming.Record_.Service_].List_.Instances_;
    auto Found =
        std::find_if(Known.begin(), Known.end(), [&](const auto &Each) {
          return Each.Record_.Id_ == Incoming.Record_.Id_;
        });
    if (Found == Known.end())
      Known.push_back({Incoming.Record_});
    else
      Found->Record_ = Incoming.Record_;
  }
  template <typename Other>
  void on(const Other & /*Incoming*/, TimePoint /*Now*/, Effects & /*Out*/) {}

  void send(const std::shared_ptr<const Request> &Sent, int Retries,
            TimePoint Now, Effects &Out) {
    BaselineList &List = Services_[Sent->Service_].List_;
    List.Now_ = Now;
    std::optional<std::size_t> Chosen = Chooser_.choose(List);
    if (!Chosen)
      return refuse(*Sent, Retries == 0 ? Outcome::NotRun : Outcome::Unknown,
                    Out);
    ++List.Instances_[*Chosen].InUse_;
    Last_ = Last_.next();
    Attempts_.emplace(Last_, Running{Sent, *Chosen, Retries});
    Deadlines_.emplace(*Sent->Deadline_, Last_);
    const InstanceRecord &Target = List.Instances_[*Chosen].Record_;
    Out.emplace_back(SendAttempt{Last_, Target.Id_, Target.Address_, Sent,
                                 *Sent->Deadline_});
  }
  void refuse(const Request &Refused, Outcome Certainty, Effects &Out) {
    Out.emplace_back(AnswerCaller{
        Refused.Id_,
        Refusal{Certainty, RefusalReason::UpstreamUnavailable, {}, {}},
        {}});
  }

  Policy Chooser_;
  AttemptId Last_;
  std::map<ServiceName, Service> Services_;
  std::map<AttemptId, Running> Attempts_;
  std::set<std::pair<TimePoint, AttemptId>> Deadlines_;
};

} // namespace jaybridge
