#include <LibRouting/RequestDispatcher.h>

#include <LibCore/Verify.h>
#include <LibRouting/AttemptAnswer.h>

#include <algorithm>

namespace jaybridge {

namespace {

bool isTransient(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoInstance:
  case RefusalReason::Overloaded:
  case RefusalReason::QueueFull:
  case RefusalReason::UpstreamUnavailable:
  case RefusalReason::Draining:
    return true;
  default:
    return false;
  }
}

} // namespace

ServiceRouter &RequestDispatcher::service(const ServiceName &Name) {
  return Services_.try_emplace(Name, OwnDomain_, RetryBounds_, Mode_)
      .first->second;
}

const ServiceRouter *
RequestDispatcher::findService(const ServiceName &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

void RequestDispatcher::configure(const CatalogChanged &Changed) {
  if (Changed.Version_ < Version_)
    return;
  Version_ = Changed.Version_;
  for (auto &[Name, Router] : Services_)
    Router.setPolicy(std::nullopt);
  for (const ServicePolicy &Policy : Changed.Policies_)
    service(Policy.Service_).setPolicy(Policy);
}

void RequestDispatcher::quarantine(const FingerprintsQuarantined &Changed) {
  QuarantinedFingerprints_ = {Changed.Fingerprints_.begin(),
                              Changed.Fingerprints_.end()};
  SuspectedFingerprints_ = {Changed.Suspected_.begin(),
                            Changed.Suspected_.end()};
}

RequestExecution *RequestDispatcher::find(const RequestId &Id) {
  auto Found = Requests_.find(Id);
  return Found == Requests_.end() ? nullptr : &Found->second;
}

RequestExecution &RequestDispatcher::open(RequestExecution Execution) {
  RequestId Id = Execution.request().Id_;
  RequestDeadlines_.emplace(Execution.deadline(), Id);
  auto [Position, IsNew] =
      Requests_.emplace(std::move(Id), std::move(Execution));
  JAYBRIDGE_VERIFY(IsNew);
  return Position->second;
}

bool RequestDispatcher::shedLowerWeight(ClassWeight Weight, TimePoint Now,
                                        Effects &Out) {
  std::optional<RequestId> Evicted = Queue_.evictBelow(Weight);
  if (!Evicted)
    return false;
  refuse(Requests_.at(*Evicted), RefusalReason::Overloaded, Now, Out);
  return true;
}

void RequestDispatcher::dispatchOrQueue(RequestExecution &Execution,
                                        TimePoint Now, Effects &Out) {
  if (Now >= Execution.deadline())
    return refuse(Execution, RefusalReason::DeadlinePassed, Now, Out);
  if (QuarantinedFingerprints_.contains(Execution.fingerprint()))
    return refuse(Execution, RefusalReason::CrashesUpstreams, Now, Out);
  if (!canEndInTime(Execution, Now))
    return refuse(Execution, RefusalReason::Draining, Now, Out);
  const ServiceName &Name = Execution.request().Service_;
  if (Queue_.length(Name) > 0)
    return enqueue(Execution, Now, Out);
  if (Mode_ == Placement::Cost)
    return placeByCost(Execution, Now, Out);
  std::optional<InstanceId> Chosen =
      selectInstance(Execution, service(Name), Now);
  if (!Chosen)
    return enqueue(Execution, Now, Out);
  dispatch(Execution, *Chosen, DispatchKind::Normal, Now, Out);
}

bool RequestDispatcher::canEndInTime(const RequestExecution &Execution,
                                     TimePoint Now) const {
  if (Execution.deadline() <= FinishBy_)
    return true;
  const ServiceRouter *Router = findService(Execution.request().Service_);
  std::optional<Duration> Longest;
  if (Router)
    Longest = Router->longestAttempt();
  // Without an estimate only the deadline bounds the time of an attempt.
  return Longest && Now + *Longest <= FinishBy_;
}

void RequestDispatcher::refuseUnfinished(TimePoint Now, Effects &Out) {
  std::vector<RequestId> Unfinished;
  for (const auto &[Id, Execution] : Requests_)
    if (Execution.phase() != RequestExecution::Phase::Answered)
      Unfinished.push_back(Id);
  for (const RequestId &Id : Unfinished)
    refuse(Requests_.at(Id), RefusalReason::Draining, Now, Out);
}

std::optional<InstanceId>
RequestDispatcher::selectInstance(const RequestExecution &Execution,
                                  ServiceRouter &Router, TimePoint Now) {
  SelectionRequest Selection{Execution.triedInstances(),
                             Execution.isRepeatable()};
  std::optional<InstanceId> Chosen = selectByCost(Selection, Router, Now);
  if (!Chosen && !Selection.Tried_.empty())
    Chosen = selectByCost(SelectionRequest{{}, Execution.isRepeatable()},
                          Router, Now);
  return Chosen;
}

void RequestDispatcher::enqueue(RequestExecution &Execution, TimePoint Now,
                                Effects &Out) {
  const ServiceName &Name = Execution.request().Service_;
  ServiceRouter &Router = service(Name);
  if (!Router.pool().hasServing())
    return refuse(Execution, RefusalReason::NoInstance, Now, Out);
  // An empty queue always takes a request: in a pool of few slots the next slot
  // may be free only after a whole service time.
  std::size_t RequestsAhead = Queue_.length(Name);
  Duration TimeLeft = Execution.deadline() - Now;
  if (RequestsAhead > 0 &&
      Router.predictedWait(RequestsAhead + 1) > TimeLeft / QueueWaitDivisor)
    return refuse(Execution, RefusalReason::Overloaded, Now, Out);
  if (Queue_.isFull() && !shedLowerWeight(Execution.weight(), Now, Out))
    return refuse(Execution, RefusalReason::QueueFull, Now, Out);
  Execution.setPhase(RequestExecution::Phase::Waiting);
  recordStep(Execution, StepKind::Queued, {}, Out);
  Queue_.push(QueuedRequest{Execution.request().Id_, Name, Execution.weight(),
                            Execution.deadline()});
}

void RequestDispatcher::dispatch(RequestExecution &Execution,
                                 const InstanceId &Instance, DispatchKind Kind,
                                 TimePoint Now, Effects &Out) {
  const Request &Sent = Execution.request();
  ServiceRouter &Router = service(Sent.Service_);
  const InstanceRecord &Target = Router.pool().find(Instance)->record();
  bool IsFirst = !Execution.hasBeenDispatched();
  LiveAttempt Live;
  Live.Request_ = Sent.Id_;
  Live.Service_ = Sent.Service_;
  Live.Route_ = Execution.route();
  Live.Instance_ = Instance;
  Live.Fingerprint_ = Execution.fingerprint();
  if (std::optional<Duration> Delay = Router.overdueDelay(Execution.route());
      Delay && Now + *Delay < Execution.deadline())
    Live.OverdueAt_ = Now + *Delay;
  Live.ExpiresAt_ = Execution.deadline() + ReportTimeout;
  AttemptId Attempt = Attempts_.add(std::move(Live));
  Execution.beginAttempt(Attempt, Instance);
  Out.emplace_back(SendAttempt{Attempt, Instance, Target.Address_,
                               Execution.sharedRequest(),
                               Execution.deadline()});
  Out.emplace_back(RecordStep{
      Sent.Id_,
      Kind == DispatchKind::Hedge ? StepKind::Hedged : StepKind::Dispatched,
      Sent.Service_,
      Version_,
      Instance,
      Target.Domain_,
      {}});
  Router.pool().begin(Instance, Now);
  schedulePoolDeadline(Sent.Service_, Router);
  if (!IsFirst)
    return;
  Router.budget().depositFirstAttempt();
  if (std::optional<Duration> Delay = Router.hedgeDelay();
      Delay && Execution.isHedgingAllowed() &&
      Now + *Delay < Execution.deadline())
    HedgeTimers_.emplace(Now + *Delay, Sent.Id_);
}

void RequestDispatcher::dispatchQueued(const ServiceName &Name, TimePoint Now,
                                       Effects &Out) {
  ServiceRouter &Router = service(Name);
  while (Queue_.length(Name) > 0) {
    if (Router.pool().hasServing() && !Router.pool().hasAvailable())
      return;
    RequestExecution &Execution = Requests_.at(*Queue_.pop(Name));
    if (!Router.pool().hasServing())
      refuse(Execution, RefusalReason::NoInstance, Now, Out);
    else if (!Router.canFinish(Execution.deadline(), Now))
      refuse(Execution, RefusalReason::DeadlinePassed, Now, Out);
    else if (QuarantinedFingerprints_.contains(Execution.fingerprint()))
      refuse(Execution, RefusalReason::CrashesUpstreams, Now, Out);
    else if (!canEndInTime(Execution, Now))
      refuse(Execution, RefusalReason::Draining, Now, Out);
    else if (std::optional<InstanceId> Chosen =
                 selectInstance(Execution, Router, Now))
      dispatch(Execution, *Chosen, DispatchKind::Normal, Now, Out);
  }
}

void RequestDispatcher::close(RequestExecution &Execution, Answer Final,
                              TimePoint /*Now*/, Effects &Out) {
  const RequestId Id = Execution.request().Id_;
  Queue_.remove(Id);
  RequestDeadlines_.erase({Execution.deadline(), Id});
  for (AttemptId Attempt : Execution.liveAttempts())
    Out.emplace_back(CancelAttempt{Attempt});
  if (Execution.phase() == RequestExecution::Phase::Forwarded)
    Out.emplace_back(CancelForward{Execution.home(), Id});
  if (const auto *Refused = std::get_if<Refusal>(&Final))
    recordStep(Execution, StepKind::Refused,
               refusalReasonName(Refused->Reason_), Out);
  else
    recordStep(Execution, StepKind::Answered, {}, Out);
  Out.emplace_back(AnswerCaller{Id, Final, Version_});
  if (Execution.phase() == RequestExecution::Phase::Claiming)
    Out.emplace_back(ReleaseKey{Id});
  // The claim stays open until the last attempt has ended, so that its response
  // can be stored for a resent copy of the request.
  if (Execution.isClaimed() && !Execution.liveAttempts().empty()) {
    Execution.setPhase(RequestExecution::Phase::Answered);
    return;
  }
  if (Execution.isClaimed())
    releaseOrFinishKey(Execution, Final, Out);
  Requests_.erase(Id);
}

void RequestDispatcher::refuse(RequestExecution &Execution,
                               RefusalReason Reason, TimePoint Now,
                               Effects &Out) {
  Refusal Refused{Execution.knownOutcome(), Reason, std::nullopt, {}};
  if (isTransient(Reason) && Refused.Outcome_ == Outcome::NotRun)
    Refused.RetryAfter_ = retryDelay(Execution.request().Service_, Now);
  close(Execution, Refused, Now, Out);
}

void RequestDispatcher::releaseOrFinishKey(const RequestExecution &Execution,
                                           const Answer &Final,
                                           Effects &Out) const {
  const RequestId &Id = Execution.request().Id_;
  const auto *Refused = std::get_if<Refusal>(&Final);
  if (Refused && Refused->Outcome_ == Outcome::NotRun)
    Out.emplace_back(ReleaseKey{Id});
  else
    Out.emplace_back(FinishKey{Id, Final});
}

void RequestDispatcher::handlePoolChange(const ServiceName &Name, TimePoint Now,
                                         Effects &Out) {
  dispatchQueued(Name, Now, Out);
  schedulePoolDeadline(Name, service(Name));
}

void RequestDispatcher::advance(TimePoint Now, Effects &Out) {
  if (Now >= FinishBy_)
    refuseUnfinished(Now, Out);
  while (!PoolDeadlines_.empty() && PoolDeadlines_.begin()->first <= Now) {
    ServiceName Name = PoolDeadlines_.begin()->second;
    service(Name).pool().advance(Now);
    handlePoolChange(Name, Now, Out);
  }
  while (!RequestDeadlines_.empty() &&
         RequestDeadlines_.begin()->first <= Now) {
    RequestExecution &Execution =
        Requests_.at(RequestDeadlines_.begin()->second);
    bool IsRunning = !Execution.liveAttempts().empty() ||
                     Execution.phase() == RequestExecution::Phase::Forwarded;
    refuse(Execution,
           IsRunning ? RefusalReason::UpstreamTimeout
                     : RefusalReason::DeadlinePassed,
           Now, Out);
  }
  while (!HedgeTimers_.empty() && HedgeTimers_.begin()->first <= Now) {
    RequestId Id = HedgeTimers_.begin()->second;
    HedgeTimers_.erase(HedgeTimers_.begin());
    if (RequestExecution *Execution = find(Id))
      startHedge(*Execution, HedgeReason::Slow, Now, Out);
  }
  while (const LiveAttempt *Overdue = Attempts_.takeOverdue(Now))
    // The table may change while the attempt is handled.
    handleOverdue(LiveAttempt(*Overdue), Now, Out);
  while (Attempts_.nextExpiry() && *Attempts_.nextExpiry() <= Now)
    expireFirstAttempt(Now, Out);
}

std::optional<TimePoint> RequestDispatcher::nextDeadline() const {
  std::optional<TimePoint> Next = Attempts_.nextExpiry();
  auto ConsiderFirst = [&Next](const auto &TimerSet) {
    if (!TimerSet.empty() && (!Next || TimerSet.begin()->first < *Next))
      Next = TimerSet.begin()->first;
  };
  ConsiderFirst(RequestDeadlines_);
  ConsiderFirst(HedgeTimers_);
  if (auto Overdue = Attempts_.nextOverdue();
      Overdue && (!Next || *Overdue < *Next))
    Next = Overdue;
  ConsiderFirst(PoolDeadlines_);
  // Every request in progress has a deadline, unless it is answered.
  if (Next && !RequestDeadlines_.empty())
    Next = std::min(*Next, FinishBy_);
  return Next;
}

void RequestDispatcher::schedulePoolDeadline(const ServiceName &Name,
                                             ServiceRouter &Router) {
  std::optional<TimePoint> Next = Router.pool().nextDeadline();
  if (Next == Router.ScheduledDeadline_)
    return;
  if (Router.ScheduledDeadline_)
    PoolDeadlines_.erase({*Router.ScheduledDeadline_, Name});
  if (Next)
    PoolDeadlines_.emplace(*Next, Name);
  Router.ScheduledDeadline_ = Next;
}

void RequestDispatcher::recordStep(const RequestExecution &Execution,
                                   StepKind Kind, std::string Detail,
                                   Effects &Out) const {
  Out.emplace_back(RecordStep{Execution.request().Id_,
                              Kind,
                              Execution.request().Service_,
                              Version_,
                              {},
                              {},
                              std::move(Detail)});
}

} // namespace jaybridge
