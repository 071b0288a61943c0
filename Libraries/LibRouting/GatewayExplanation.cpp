#include <LibRouting/Gateway.h>

#include <algorithm>

namespace jaybridge {

void Gateway::on(const ExplanationRequest &Incoming, TimePoint Now,
                 Effects &Out) {
  RoutingExplanation Explained = explain(*Incoming.Request_, Now);
  // Without teams in the configuration, the request belongs to none.
  Out.emplace_back(ExplanationResponse{
      Incoming.Id_,
      std::make_shared<const RoutingExplanation>(std::move(Explained))});
}

RoutingExplanation Gateway::explain(const Request &Asked, TimePoint Now) const {
  RoutingExplanation Explained = explainRoute(Asked, Now);
  if (isRefusingNew(Now))
    Explained.Refusal_ = RefusalReason::Draining;
  return Explained;
}

RoutingExplanation Gateway::explainRoute(const Request &Asked,
                                         TimePoint Now) const {
  RoutingExplanation Explained;
  Explained.Version_ = Dispatcher_.version();
  if (!Asked.Service_.isEmpty()) {
    const ServiceRouter *Router = Dispatcher_.findService(Asked.Service_);
    if (Router && Router->policy())
      Explained.Services_.push_back(explainService(
          Asked, WeightedService{Asked.Service_}, Router->policy()->Profile_,
          Asked.Deadline_.value_or(Now + Router->policy()->Profile_.patience()),
          Now));
    else
      Explained.Refusal_ = RefusalReason::UnknownService;
    return Explained;
  }
  if (!Routes_) {
    Explained.Refusal_ = RefusalReason::NotReady;
    return Explained;
  }
  const Route *Matched = Routes_->find(
      hostNameOf(Asked.Authority_),
      std::string_view(Asked.Target_).substr(0, Asked.Target_.find('?')));
  if (!Matched) {
    Explained.Refusal_ = RefusalReason::UnknownService;
    return Explained;
  }
  Explained.Route_ = Matched->Values_.Name_;
  TimePoint Deadline = Now + Matched->Profile_.patience();
  if (Asked.Deadline_)
    Deadline = std::min(Deadline, *Asked.Deadline_);
  for (const WeightedService &Part : Matched->Values_.WeightedServices_)
    Explained.Services_.push_back(
        explainService(Asked, Part, Matched->Profile_, Deadline, Now));
  return Explained;
}

ServiceExplanation Gateway::explainService(const Request &Asked,
                                           const WeightedService &Part,
                                           const Profile &ServiceProfile,
                                           TimePoint Deadline,
                                           TimePoint Now) const {
  auto Routed = std::make_shared<Request>(Asked);
  Routed->Service_ = Part.Service_;
  const RequestExecution Execution(std::move(Routed), ServiceProfile, Deadline);
  ServiceExplanation Explained{
      Part.Service_, Part.Weight_, assess(Execution, Now), {}};
  if (const ServiceRouter *Router = Dispatcher_.findService(Part.Service_))
    Explained.Candidates_ = Router->pool().candidates(
        SelectionRequest{{}, Execution.isRepeatable()}, Now);
  return Explained;
}

AdmissionDecision Gateway::assess(const RequestExecution &Execution,
                                  TimePoint Now) const {
  if (isRefusingNew(Now))
    return RefusedBecause{RefusalReason::Draining};
  if (Execution.deadline() <= Now)
    return RefusedBecause{RefusalReason::DeadlinePassed};
  if (Dispatcher_.requestCount() >= Settings_.MaxRequests_.value() &&
      !Dispatcher_.canShedLowerWeight(Execution.weight()))
    return RefusedBecause{RefusalReason::Overloaded};
  const ServiceRouter *Router =
      Dispatcher_.findService(Execution.request().Service_);
  if (Router)
    if (std::optional<MemberId> Home = Router->chooseHome(Now))
      return ForwardedTo{*Home};
  return Dispatcher_.assess(Execution, Now);
}

AdmissionDecision RequestDispatcher::assess(const RequestExecution &Execution,
                                            TimePoint Now) const {
  if (QuarantinedFingerprints_.contains(Execution.fingerprint()))
    return RefusedBecause{RefusalReason::CrashesUpstreams};
  if (!canEndInTime(Execution, Now))
    return RefusedBecause{RefusalReason::Draining};
  const ServiceName &Name = Execution.request().Service_;
  const ServiceRouter *Router = findService(Name);
  if (!Router || !Router->pool().hasServing())
    return RefusedBecause{RefusalReason::NoInstance};
  const std::size_t RequestsAhead = Queue_.length(Name);
  if (RequestsAhead == 0 && Router->pool().hasAvailable())
    return AdmittedNow{};
  const Duration Wait = Router->predictedWait(RequestsAhead + 1);
  if (RequestsAhead > 0 &&
      Wait > (Execution.deadline() - Now) / QueueWaitDivisor)
    return RefusedBecause{RefusalReason::Overloaded};
  if (Queue_.isFull() && !canShedLowerWeight(Execution.weight()))
    return RefusedBecause{RefusalReason::QueueFull};
  return QueuedFor{Wait};
}

} // namespace jaybridge
