// The part of RequestDispatcher that decides what follows when an attempt ends,
// is overdue or is slow.
#include <LibRouting/RequestDispatcher.h>

#include <LibRouting/AttemptAnswer.h>
#include <LibRouting/AttemptClassification.h>

namespace jaybridge {

void RequestDispatcher::endAttempt(const AttemptFinished &Finished,
                                   TimePoint Now, Effects &Out) {
  std::optional<LiveAttempt> Attempt = Attempts_.take(Finished.Attempt_);
  if (!Attempt)
    return;
  const AttemptOutcome &AttemptEnd = Finished.Outcome_;
  ServiceRouter &Router = service(Attempt->Service_);
  AttemptOutcome Classified = AttemptEnd;
  Classified.Result_ =
      classifyAttempt(AttemptEnd, Now >= Attempt->ExpiresAt_ - ReportTimeout,
                      Router.pool().latency().mean());
  Router.finishAttempt(Attempt->Route_, Attempt->Instance_, Classified, Now);
  if (Mode_ == Placement::Cost)
    if (std::optional<bool> IsShort = Router.updateCapacityState(Now))
      Out.emplace_back(CapacityChanged{Attempt->Service_, *IsShort});
  if (AttemptEnd.ReportedLoad_)
    Router.pool().updateReportedLoad(Attempt->Instance_,
                                     *AttemptEnd.ReportedLoad_, Now);
  Out.emplace_back(
      ReportAttempt{Attempt->Service_, Attempt->Instance_, Classified.Result_,
                    AttemptEnd.Response_.Status_, AttemptEnd.Elapsed_,
                    Attempt->Fingerprint_, Attempt->WasOverdue_});
  Out.emplace_back(RecordStep{Attempt->Request_,
                              StepKind::AttemptEnded,
                              Attempt->Service_,
                              Version_,
                              Attempt->Instance_,
                              {},
                              attemptResultName(AttemptEnd.Result_)});
  if (RequestExecution *Execution = find(Attempt->Request_))
    handleAttemptEnd(*Execution, Finished.Attempt_, AttemptEnd, Now, Out);
  handlePoolChange(Attempt->Service_, Now, Out);
}

void RequestDispatcher::handleAttemptEnd(RequestExecution &Execution,
                                         AttemptId Attempt,
                                         const AttemptOutcome &AttemptEnd,
                                         TimePoint Now, Effects &Out) {
  Execution.endAttempt(Attempt, AttemptEnd.Result_);
  bool HasLiveAttempts = !Execution.liveAttempts().empty();
  if (Execution.phase() == RequestExecution::Phase::Answered) {
    if (HasLiveAttempts)
      return;
    releaseOrFinishKey(Execution, answerAfter(Execution, AttemptEnd), Out);
    Requests_.erase(Execution.request().Id_);
    return;
  }
  if (isFinal(Execution, AttemptEnd))
    return close(Execution, answerAfter(Execution, AttemptEnd), Now, Out);
  if (HasLiveAttempts)
    return;
  const ServiceName &Name = Execution.request().Service_;
  bool IsInTime = Now < Execution.deadline();
  // The retry budget protects the service from extra load; an attempt that
  // could not connect caused none.
  bool IsExemptFromBudget = AttemptEnd.Result_ == AttemptResult::ConnectFailed;
  bool MayHaveCrashed =
      isConnectionCut(AttemptEnd.Result_) &&
      SuspectedFingerprints_.contains(Execution.fingerprint());
  bool IsRejected = Mode_ == Placement::Cost &&
                    AttemptEnd.Result_ == AttemptResult::RefusedNotRun;
  if (IsRejected && isRetryFutile(Execution, service(Name), Now))
    return refuse(Execution, RefusalReason::UpstreamUnavailable, Now, Out);
  if (IsInTime && !MayHaveCrashed && Execution.canDispatch() &&
      (IsExemptFromBudget || service(Name).budget().withdrawRetry())) {
    if (!IsExemptFromBudget)
      Out.emplace_back(ReportRetry{Name});
    recordStep(Execution, StepKind::Retried,
               attemptResultName(AttemptEnd.Result_), Out);
    return dispatchOrQueue(Execution, Now, Out);
  }
  if (IsRejected)
    return refuse(Execution, RefusalReason::UpstreamUnavailable, Now, Out);
  close(Execution, answerAfter(Execution, AttemptEnd), Now, Out);
}

void RequestDispatcher::handleOverdue(const LiveAttempt &Overdue, TimePoint Now,
                                      Effects &Out) {
  Out.emplace_back(ReportOverdue{Overdue.Service_, Overdue.Instance_});
  Out.emplace_back(RecordStep{Overdue.Request_,
                              StepKind::Overdue,
                              Overdue.Service_,
                              Version_,
                              Overdue.Instance_,
                              {},
                              {}});
  RequestExecution *Execution = find(Overdue.Request_);
  if (Execution && Execution->isHedgingAllowed())
    startHedge(*Execution, HedgeReason::Overdue, Now, Out);
}

void RequestDispatcher::startHedge(RequestExecution &Execution,
                                   HedgeReason Reason, TimePoint Now,
                                   Effects &Out) {
  if (Execution.liveAttempts().size() != 1 || !Execution.canDispatch() ||
      !canEndInTime(Execution, Now))
    return;
  const ServiceName &Name = Execution.request().Service_;
  if (Queue_.length(Name) > 0)
    return;
  ServiceRouter &Router = service(Name);
  SelectionRequest Selection{Execution.triedInstances(),
                             Execution.isRepeatable()};
  std::optional<InstanceId> Chosen = selectByCost(Selection, Router, Now);
  if (!Chosen)
    return;
  // A request whose attempt hangs needs its second attempt as much as one
  // whose attempt has failed.
  const bool IsPermitted = Reason == HedgeReason::Overdue
                               ? Router.budget().withdrawRetry()
                               : Router.budget().withdrawHedge();
  if (!IsPermitted)
    return;
  if (Reason == HedgeReason::Overdue)
    Out.emplace_back(ReportRetry{Name});
  dispatch(Execution, *Chosen, DispatchKind::Hedge, Now, Out);
}

void RequestDispatcher::expireFirstAttempt(TimePoint Now, Effects &Out) {
  AttemptOutcome Unreported;
  Unreported.Result_ = AttemptResult::TimedOut;
  // A lower bound: the attempt expires this long after its deadline.
  Unreported.Elapsed_ = ReportTimeout;
  endAttempt(AttemptFinished{Attempts_.firstToExpire(), Unreported}, Now, Out);
}

} // namespace jaybridge
