#include <LibRouting/RequestDispatcher.h>

#include <LibCore/Verify.h>
#include <LibRouting/AttemptVerdict.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Time after its deadline in which the end of an attempt must be reported. A
/// report that never comes would occupy a slot for good.
constexpr Duration ReportGrace = 5s;
constexpr Duration LeastRetryAfter = 100ms;
/// Waiting may use up this part of the time left; the rest is for the service.
/// At three times the load and a patience of four service times, a half served
/// 94% of what the pool can serve, a quarter 98%, a sixth 99%.
constexpr int WaitingPart = 6;

bool isTransient(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoInstance:
  case RefusalReason::Overloaded:
  case RefusalReason::QueueFull:
  case RefusalReason::UpstreamUnavailable:
    return true;
  default:
    return false;
  }
}

RefusalReason reasonOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
  case AttemptResult::RefusedNotRun:
  case AttemptResult::ConnectFailed:
    return RefusalReason::UpstreamUnavailable;
  case AttemptResult::ConnectionLost:
    return RefusalReason::ConnectionLost;
  case AttemptResult::ResponseTruncated:
    return RefusalReason::AnswerCutShort;
  case AttemptResult::ResponseTooLarge:
    return RefusalReason::AnswerTooLarge;
  case AttemptResult::TimedOut:
  case AttemptResult::Cancelled:
    return RefusalReason::UpstreamTimeout;
  }
  return RefusalReason::UpstreamUnavailable;
}

const char *resultName(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::RefusedNotRun:
    return "refused-not-run";
  case AttemptResult::ConnectFailed:
    return "connect-failed";
  case AttemptResult::ConnectionLost:
    return "connection-lost";
  case AttemptResult::ResponseTruncated:
    return "cut-short";
  case AttemptResult::ResponseTooLarge:
    return "too-large";
  case AttemptResult::TimedOut:
    return "timed-out";
  case AttemptResult::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

/// The answer after an attempt that ended, with the outcome that is certain
/// from all attempts of the request.
Answer answerOf(const RequestExecution &Running, const AttemptOutcome &Ended) {
  if (Ended.Result_ == AttemptResult::Answered)
    return Ended.Response_;
  Outcome Certainty = Ended.Result_ == AttemptResult::ResponseTooLarge
                          ? Outcome::Ran
                          : Running.certainty();
  Refusal Refused{Certainty, reasonOf(Ended.Result_), std::nullopt, {}};
  if (Certainty == Outcome::NotRun)
    Refused.RetryAfter_ = LeastRetryAfter;
  return Refused;
}

/// An answer that no retry could improve.
bool isFinal(const RequestExecution &Running, const AttemptOutcome &Ended) {
  if (Ended.Result_ == AttemptResult::ResponseTooLarge)
    return true;
  if (Ended.Result_ != AttemptResult::Answered)
    return false;
  return !Running.isRepeatable() ||
         Ended.Response_.Status_ < MinServerErrorStatus;
}

} // namespace

ServiceRouter &RequestDispatcher::service(const ServiceName &Name) {
  return Services_.try_emplace(Name, Own_, RetryBounds_).first->second;
}

const ServiceRouter *
RequestDispatcher::findService(const ServiceName &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

void RequestDispatcher::configure(const CatalogChanged &Newer) {
  if (Newer.Version_ < Version_)
    return;
  Version_ = Newer.Version_;
  for (auto &[Name, Router] : Services_)
    Router.setPolicy(std::nullopt);
  for (const ServicePolicy &Policy : Newer.Policies_)
    service(Policy.Service_).setPolicy(Policy);
}

void RequestDispatcher::quarantine(
    const std::vector<Fingerprint> &Fingerprints) {
  Quarantined_ = {Fingerprints.begin(), Fingerprints.end()};
}

RequestExecution *RequestDispatcher::find(const RequestId &Id) {
  auto Found = Requests_.find(Id);
  return Found == Requests_.end() ? nullptr : &Found->second;
}

RequestExecution &RequestDispatcher::open(RequestExecution Started) {
  RequestId Id = Started.request().Id_;
  Deadlines_.emplace(Started.deadline(), Id);
  auto [Position, IsNew] = Requests_.emplace(std::move(Id), std::move(Started));
  JAYBRIDGE_VERIFY(IsNew);
  return Position->second;
}

bool RequestDispatcher::makeRoom(ClassWeight Weight, TimePoint Now,
                                 Effects &Out) {
  std::optional<RequestId> Displaced = Queue_.displaceBelow(Weight);
  if (!Displaced)
    return false;
  refuse(Requests_.at(*Displaced), RefusalReason::Overloaded, Now, Out);
  return true;
}

void RequestDispatcher::place(RequestExecution &Ready, TimePoint Now,
                              Effects &Out) {
  if (Now >= Ready.deadline())
    return refuse(Ready, RefusalReason::DeadlinePassed, Now, Out);
  if (Quarantined_.contains(Ready.fingerprint()))
    return refuse(Ready, RefusalReason::CrashesUpstreams, Now, Out);
  const ServiceName &Name = Ready.request().Service_;
  if (Queue_.length(Name) > 0)
    return enqueue(Ready, Now, Out);
  std::optional<InstanceId> Chosen = selectFor(Ready, service(Name), Now);
  if (!Chosen)
    return enqueue(Ready, Now, Out);
  dispatch(Ready, *Chosen, DispatchKind::Normal, Now, Out);
}

std::optional<InstanceId>
RequestDispatcher::selectFor(const RequestExecution &Ready,
                             ServiceRouter &Router, TimePoint Now) {
  SelectionRequest Wanted{Ready.triedInstances()};
  std::optional<InstanceId> Chosen =
      Router.pool().select(Choices_, Wanted, Now);
  if (!Chosen && !Wanted.Tried_.empty())
    Chosen = Router.pool().select(Choices_, SelectionRequest{}, Now);
  return Chosen;
}

void RequestDispatcher::enqueue(RequestExecution &Ready, TimePoint Now,
                                Effects &Out) {
  const ServiceName &Name = Ready.request().Service_;
  ServiceRouter &Router = service(Name);
  if (!Router.pool().hasServing())
    return refuse(Ready, RefusalReason::NoInstance, Now, Out);
  // One may always wait: in a pool of few slots the next free one is a whole
  // service time away.
  std::size_t Ahead = Queue_.length(Name);
  Duration Left = Ready.deadline() - Now;
  if (Ahead > 0 && Router.predictedWait(Ahead + 1) > Left / WaitingPart)
    return refuse(Ready, RefusalReason::Overloaded, Now, Out);
  if (Queue_.isFull() && !makeRoom(Ready.weight(), Now, Out))
    return refuse(Ready, RefusalReason::QueueFull, Now, Out);
  Ready.setPhase(RequestExecution::Phase::Waiting);
  recordStep(Ready, StepKind::Queued, {}, Out);
  Queue_.push(QueuedRequest{Ready.request().Id_, Name, Ready.weight(),
                            Ready.deadline()});
}

void RequestDispatcher::dispatch(RequestExecution &Ready,
                                 const InstanceId &Instance, DispatchKind Kind,
                                 TimePoint Now, Effects &Out) {
  const Request &Sent = Ready.request();
  ServiceRouter &Router = service(Sent.Service_);
  const InstanceRecord &Target = Router.pool().find(Instance)->record();
  bool IsFirst = !Ready.hasBeenDispatched();
  AttemptId Attempt = Attempts_.add(
      LiveAttempt{Sent.Id_, Sent.Service_, Instance, Ready.fingerprint(),
                  Ready.deadline() + ReportGrace});
  Ready.beginAttempt(Attempt, Instance);
  Out.emplace_back(SendAttempt{Attempt, Instance, Target.Address_,
                               Ready.sharedRequest(), Ready.deadline()});
  Out.emplace_back(RecordStep{
      Sent.Id_,
      Kind == DispatchKind::Hedge ? StepKind::Hedged : StepKind::Dispatched,
      Sent.Service_,
      Version_,
      Instance,
      Target.Domain_,
      {}});
  Router.pool().begin(Instance, Now);
  noteDeadline(Sent.Service_, Router);
  if (!IsFirst)
    return;
  Router.budget().depositFirstAttempt();
  if (std::optional<Duration> Delay = Router.hedgeDelay();
      Delay && Ready.isHedgingAllowed() && Now + *Delay < Ready.deadline())
    Hedges_.emplace(Now + *Delay, Sent.Id_);
}

void RequestDispatcher::pump(const ServiceName &Name, TimePoint Now,
                             Effects &Out) {
  ServiceRouter &Router = service(Name);
  while (Queue_.length(Name) > 0) {
    if (Router.pool().hasServing() && !Router.pool().hasAvailable())
      return;
    RequestExecution &Next = Requests_.at(*Queue_.pop(Name));
    if (!Router.pool().hasServing())
      refuse(Next, RefusalReason::NoInstance, Now, Out);
    else if (!Router.canFinish(Next.deadline(), Now))
      refuse(Next, RefusalReason::DeadlinePassed, Now, Out);
    else if (Quarantined_.contains(Next.fingerprint()))
      refuse(Next, RefusalReason::CrashesUpstreams, Now, Out);
    else if (std::optional<InstanceId> Chosen = selectFor(Next, Router, Now))
      dispatch(Next, *Chosen, DispatchKind::Normal, Now, Out);
  }
}

void RequestDispatcher::endAttempt(const AttemptFinished &Ended, TimePoint Now,
                                   Effects &Out) {
  std::optional<LiveAttempt> Taken = Attempts_.take(Ended.Attempt_);
  if (!Taken)
    return;
  const AttemptOutcome &Result = Ended.Outcome_;
  ServiceRouter &Router = service(Taken->Service_);
  AttemptOutcome Judged = Result;
  Judged.Result_ = verdictOf(Result, Now >= Taken->ExpiresAt_ - ReportGrace,
                             Router.pool().latency().mean());
  Router.finishAttempt(Taken->Instance_, Judged, Now);
  if (Result.ReportedLoad_)
    Router.pool().updateReportedLoad(Taken->Instance_, *Result.ReportedLoad_,
                                     Now);
  Out.emplace_back(ObserveAttempt{Taken->Service_, Taken->Instance_,
                                  Judged.Result_, Result.Response_.Status_,
                                  Result.Elapsed_, Taken->Fingerprint_});
  Out.emplace_back(RecordStep{Taken->Request_,
                              StepKind::AttemptEnded,
                              Taken->Service_,
                              Version_,
                              Taken->Instance_,
                              {},
                              resultName(Result.Result_)});
  if (RequestExecution *Running = find(Taken->Request_))
    conclude(*Running, Ended.Attempt_, Result, Now, Out);
  resume(Taken->Service_, Now, Out);
}

void RequestDispatcher::conclude(RequestExecution &Running, AttemptId Attempt,
                                 const AttemptOutcome &Ended, TimePoint Now,
                                 Effects &Out) {
  Running.endAttempt(Attempt, Ended.Result_);
  bool HasLive = !Running.liveAttempts().empty();
  if (Running.phase() == RequestExecution::Phase::Settling) {
    if (HasLive)
      return;
    settleKey(Running, answerOf(Running, Ended), Out);
    Requests_.erase(Running.request().Id_);
    return;
  }
  if (isFinal(Running, Ended))
    return close(Running, answerOf(Running, Ended), Now, Out);
  if (HasLive)
    return;
  const ServiceName &Name = Running.request().Service_;
  bool IsInTime = Now < Running.deadline();
  // Without a connection the service got nothing that a budget protects it
  // from.
  bool IsFree = Ended.Result_ == AttemptResult::ConnectFailed;
  if (IsInTime && Running.canDispatch() &&
      (IsFree || service(Name).budget().withdrawRetry())) {
    if (!IsFree)
      Out.emplace_back(RetrySpent{Name});
    recordStep(Running, StepKind::Retried, resultName(Ended.Result_), Out);
    return place(Running, Now, Out);
  }
  close(Running, answerOf(Running, Ended), Now, Out);
}

void RequestDispatcher::close(RequestExecution &Ended, Answer Final,
                              TimePoint /*Now*/, Effects &Out) {
  const RequestId Id = Ended.request().Id_;
  Queue_.remove(Id);
  Deadlines_.erase({Ended.deadline(), Id});
  for (AttemptId Attempt : Ended.liveAttempts())
    Out.emplace_back(CancelAttempt{Attempt});
  if (Ended.phase() == RequestExecution::Phase::Forwarded)
    Out.emplace_back(CancelForward{Ended.home(), Id});
  if (const auto *Refused = std::get_if<Refusal>(&Final))
    recordStep(Ended, StepKind::Refused, refusalReasonName(Refused->Reason_),
               Out);
  else
    recordStep(Ended, StepKind::Answered, {}, Out);
  Out.emplace_back(AnswerCaller{Id, Final, Version_});
  if (Ended.phase() == RequestExecution::Phase::Claiming)
    Out.emplace_back(ReleaseKey{Id});
  // A claimed request is settled by what its last attempt turns out to be, so
  // that a resent copy can still get the answer.
  if (Ended.isClaimed() && !Ended.liveAttempts().empty()) {
    Ended.setPhase(RequestExecution::Phase::Settling);
    return;
  }
  if (Ended.isClaimed())
    settleKey(Ended, Final, Out);
  Requests_.erase(Id);
}

void RequestDispatcher::refuse(RequestExecution &Ended, RefusalReason Reason,
                               TimePoint Now, Effects &Out) {
  Refusal Refused{Ended.certainty(), Reason, std::nullopt, {}};
  if (isTransient(Reason) && Refused.Outcome_ == Outcome::NotRun) {
    const ServiceName &Name = Ended.request().Service_;
    Refused.RetryAfter_ = std::max(
        LeastRetryAfter, service(Name).predictedWait(Queue_.length(Name)));
  }
  close(Ended, Refused, Now, Out);
}

void RequestDispatcher::settleKey(const RequestExecution &Ended,
                                  const Answer &Final, Effects &Out) const {
  const RequestId &Id = Ended.request().Id_;
  const auto *Refused = std::get_if<Refusal>(&Final);
  if (Refused && Refused->Outcome_ == Outcome::NotRun)
    Out.emplace_back(ReleaseKey{Id});
  else
    Out.emplace_back(FinishKey{Id, Final});
}

void RequestDispatcher::resume(const ServiceName &Name, TimePoint Now,
                               Effects &Out) {
  pump(Name, Now, Out);
  noteDeadline(Name, service(Name));
}

void RequestDispatcher::startHedge(const RequestId &Id, TimePoint Now,
                                   Effects &Out) {
  RequestExecution *Slow = find(Id);
  if (!Slow || Slow->liveAttempts().size() != 1 || !Slow->canDispatch())
    return;
  const ServiceName &Name = Slow->request().Service_;
  if (Queue_.length(Name) > 0)
    return;
  ServiceRouter &Router = service(Name);
  SelectionRequest Wanted{Slow->triedInstances()};
  std::optional<InstanceId> Chosen =
      Router.pool().select(Choices_, Wanted, Now);
  if (Chosen && Router.budget().withdrawHedge())
    dispatch(*Slow, *Chosen, DispatchKind::Hedge, Now, Out);
}

void RequestDispatcher::expireAttempt(TimePoint Now, Effects &Out) {
  AttemptOutcome Missing;
  Missing.Result_ = AttemptResult::TimedOut;
  // It has run for longer than this.
  Missing.Elapsed_ = ReportGrace;
  endAttempt(AttemptFinished{Attempts_.firstToExpire(), Missing}, Now, Out);
}

void RequestDispatcher::advance(TimePoint Now, Effects &Out) {
  while (!PoolDeadlines_.empty() && PoolDeadlines_.begin()->first <= Now) {
    ServiceName Name = PoolDeadlines_.begin()->second;
    service(Name).pool().advance(Now);
    resume(Name, Now, Out);
  }
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    RequestExecution &Late = Requests_.at(Deadlines_.begin()->second);
    bool IsRunning = !Late.liveAttempts().empty() ||
                     Late.phase() == RequestExecution::Phase::Forwarded;
    refuse(Late,
           IsRunning ? RefusalReason::UpstreamTimeout
                     : RefusalReason::DeadlinePassed,
           Now, Out);
  }
  while (!Hedges_.empty() && Hedges_.begin()->first <= Now) {
    RequestId Id = Hedges_.begin()->second;
    Hedges_.erase(Hedges_.begin());
    startHedge(Id, Now, Out);
  }
  while (Attempts_.nextExpiry() && *Attempts_.nextExpiry() <= Now)
    expireAttempt(Now, Out);
}

std::optional<TimePoint> RequestDispatcher::nextDeadline() const {
  std::optional<TimePoint> Next = Attempts_.nextExpiry();
  auto Consider = [&Next](const auto &Timed) {
    if (!Timed.empty() && (!Next || Timed.begin()->first < *Next))
      Next = Timed.begin()->first;
  };
  Consider(Deadlines_);
  Consider(Hedges_);
  Consider(PoolDeadlines_);
  return Next;
}

void RequestDispatcher::noteDeadline(const ServiceName &Name,
                                     ServiceRouter &Router) {
  std::optional<TimePoint> Next = Router.pool().nextDeadline();
  if (Next == Router.NotedDeadline_)
    return;
  if (Router.NotedDeadline_)
    PoolDeadlines_.erase({*Router.NotedDeadline_, Name});
  if (Next)
    PoolDeadlines_.emplace(*Next, Name);
  Router.NotedDeadline_ = Next;
}

void RequestDispatcher::recordStep(const RequestExecution &Given, StepKind Kind,
                                   std::string Detail, Effects &Out) const {
  Out.emplace_back(RecordStep{Given.request().Id_,
                              Kind,
                              Given.request().Service_,
                              Version_,
                              {},
                              {},
                              std::move(Detail)});
}

} // namespace jaybridge
