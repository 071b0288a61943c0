#include <LibRouting/Gateway.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Time after which a caller may retry a request that was refused on arrival.
constexpr Duration RefusalRetryAfter = 1s;
/// Time for which requests are held when the first routing table has not
/// arrived yet. A gateway that has just started gets it within about a second.
constexpr Duration RoutingTableTimeout = 800ms;
/// Maximum homes that a request is forwarded to before this gateway serves it
/// itself.
constexpr std::size_t MaxForwards = 2;
/// Subtracted from the deadline of a forwarded request, so that a refusal by
/// the home arrives before this gateway refuses the request itself.
constexpr Duration ForwardMargin = 2ms;

/// True for reasons with which a home refuses a request only on arrival, before
/// it claims or dispatches it.
bool isRefusedOnArrival(RefusalReason Reason) {
  return Reason == RefusalReason::Draining || Reason == RefusalReason::NotReady;
}

} // namespace

Result<Gateway> Gateway::create(GatewaySettings Settings, RandomSeed Seed) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "self must not be empty", "self"};
  if (Settings.MaxRequests_ < EventCount(1))
    return Error{ErrorCode::Invalid, "greatest-requests must be at least 1",
                 "greatest-requests"};
  if (Settings.QueueCapacity_ < EventCount(1))
    return Error{ErrorCode::Invalid, "queue-capacity must be at least 1",
                 "queue-capacity"};
  return Gateway(std::move(Settings), Seed);
}

void Gateway::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  const std::size_t FirstEffect = Out.size();
  std::visit([&](const auto &Alternative) { on(Alternative, Now, Out); },
             Incoming);
  settleTokens(FirstEffect, Now, Out);
}

void Gateway::advance(TimePoint Now, Effects &Out) {
  const std::size_t FirstEffect = Out.size();
  expireHeldRequests(Now, Out);
  Dispatcher_.advance(Now, Out);
  Limiter_.advance(Now, TokenVerdicts_);
  applyTokenVerdicts(Now, Out);
  settleTokens(FirstEffect, Now, Out);
}

void Gateway::on(const RequestReceived &Incoming, TimePoint Now, Effects &Out) {
  const Request &Received = *Incoming.Request_;
  if (Dispatcher_.find(Received.Id_) || LimitedRequests_.contains(Received.Id_))
    return;
  Out.emplace_back(RecordStep{Received.Id_,
                              StepKind::Received,
                              Received.Service_,
                              Dispatcher_.version(),
                              {},
                              {},
                              Incoming.IsForwarded_ ? "forwarded" : ""});
  if (isRefusingNew(Now))
    return refuseNew(Received, RefusalReason::Draining, Out);
  if (Received.Service_.isEmpty())
    return openByRoute(Incoming, Now, Out);
  const ServiceRouter *Router = Dispatcher_.findService(Received.Service_);
  if (!Router || !Router->policy())
    return refuseNew(Received, RefusalReason::UnknownService, Out);
  const Profile &ServiceProfile = Router->policy()->Profile_;
  TimePoint Deadline =
      Received.Deadline_.value_or(Now + ServiceProfile.patience());
  open(Incoming, RequestExecution(Incoming.Request_, ServiceProfile, Deadline),
       Now, Out);
}

void Gateway::openByRoute(const RequestReceived &Incoming, TimePoint Now,
                          Effects &Out) {
  const Request &Received = *Incoming.Request_;
  if (!Routes_)
    return holdUntilRouted(Incoming, Now, Out);
  const Route *Matched = Routes_->find(
      hostNameOf(Received.Authority_),
      std::string_view(Received.Target_).substr(0, Received.Target_.find('?')));
  if (!Matched)
    return refuseNew(
        Received,
        ControlContact_.confirmedReason(RefusalReason::UnknownService, Now),
        Out);
  const CallerAuthentication Caller(Routes_->teams(), *Matched, Received);
  if (Caller.isRefused())
    return refuseNew(
        Received,
        ControlContact_.confirmedReason(RefusalReason::Unauthorized, Now), Out);
  auto Routed = std::make_shared<Request>(Received);
  Caller.identify(*Routed);
  Routed->Service_ = chooseService(*Matched);
  TimePoint Deadline = Now + Matched->Profile_.patience();
  if (Received.Deadline_)
    Deadline = std::min(Deadline, *Received.Deadline_);
  RequestExecution Execution(std::move(Routed), Matched->Profile_, Deadline);
  Execution.limitAttempts(Matched->Values_.MaxAttempts_);
  Execution.setRoute(Matched->Values_.Name_);
  if (const Team *Owner = Caller.team(); Owner && Owner->Priority_)
    Execution.setWeight(classWeightOf(*Owner->Priority_));
  open(Incoming, std::move(Execution), Now, Out);
}

void Gateway::holdUntilRouted(const RequestReceived &Incoming, TimePoint Now,
                              Effects &Out) {
  if (HeldRequests_.size() >= Settings_.QueueCapacity_.value())
    return refuseNew(*Incoming.Request_, RefusalReason::NotReady, Out);
  HeldRequests_.push_back(HeldRequest{Incoming, Now + RoutingTableTimeout});
}

void Gateway::expireHeldRequests(TimePoint Now, Effects &Out) {
  while (!HeldRequests_.empty() && HeldRequests_.front().ExpiresAt_ <= Now) {
    refuseNew(*HeldRequests_.front().Incoming_.Request_,
              RefusalReason::NotReady, Out);
    HeldRequests_.pop_front();
  }
}

const ServiceName &Gateway::chooseService(const Route &Matched) {
  std::uint64_t Sum = 0;
  for (const WeightedService &Part : Matched.Values_.WeightedServices_)
    Sum += Part.Weight_.value();
  std::uint64_t Drawn = Random_.below(Sum);
  for (const WeightedService &Part : Matched.Values_.WeightedServices_) {
    if (Drawn < Part.Weight_.value())
      return Part.Service_;
    Drawn -= Part.Weight_.value();
  }
  return Matched.Values_.WeightedServices_.back().Service_;
}

void Gateway::open(const RequestReceived &Incoming,
                   RequestExecution NewExecution, TimePoint Now, Effects &Out) {
  if (NewExecution.deadline() <= Now)
    return refuseNew(NewExecution.request(), RefusalReason::DeadlinePassed,
                     Out);
  if (NewExecution.request().IsPipelined_ && !NewExecution.isRepeatable())
    return refuseNew(NewExecution.request(), RefusalReason::AwaitsTurn, Out);
  if (Dispatcher_.requestCount() >= Settings_.MaxRequests_.value() &&
      !Dispatcher_.shedLowerWeight(NewExecution.weight(), Now, Out))
    return refuseNew(NewExecution.request(), RefusalReason::Overloaded, Out);
  const std::optional<TeamName> &Team = NewExecution.team();
  if (Incoming.IsForwarded_ || !Team || !Limiter_.isLimited(*Team))
    return openAdmitted(Incoming, std::move(NewExecution), Now, Out);
  const Request &Received = *Incoming.Request_;
  const TokenVerdict Verdict = Limiter_.admit(Received.Id_, *Team, Now);
  if (std::holds_alternative<TokenSpent>(Verdict))
    return openAdmitted(Incoming, std::move(NewExecution), Now, Out);
  if (std::holds_alternative<AwaitsToken>(Verdict)) {
    LimitedRequests_.emplace(Received.Id_,
                             LimitedRequest{Incoming, std::move(NewExecution)});
    return;
  }
  refuseLimited(NewExecution.request(), Verdict, Out);
}

void Gateway::refuseLimited(const Request &Received,
                            const TokenVerdict &Verdict, Effects &Out) {
  if (const auto *Reached = std::get_if<LimitReached>(&Verdict))
    return refuseNew(Received, RefusalReason::RateLimited, Out,
                     Reached->RetryAfter_);
  refuseNew(Received, RefusalReason::NotReady, Out);
}

void Gateway::applyTokenVerdicts(TimePoint Now, Effects &Out) {
  std::vector<TokenDecided> Verdicts;
  Verdicts.swap(TokenVerdicts_);
  for (const TokenDecided &Decided : Verdicts) {
    auto Node = LimitedRequests_.extract(Decided.Id_);
    if (Node.empty())
      continue;
    auto &[Incoming, Execution] = Node.mapped();
    if (!std::holds_alternative<TokenSpent>(Decided.Verdict_))
      refuseLimited(Execution.request(), Decided.Verdict_, Out);
    else if (Execution.deadline() <= Now)
      refuseNew(Execution.request(), RefusalReason::DeadlinePassed, Out);
    else
      openAdmitted(Incoming, std::move(Execution), Now, Out);
  }
}

void Gateway::settleTokens(std::size_t FirstEffect, TimePoint Now,
                           Effects &Out) {
  for (std::size_t Index = FirstEffect; Index < Out.size(); ++Index)
    if (const auto *Answered = std::get_if<AnswerCaller>(&Out[Index])) {
      const auto *Refused = std::get_if<Refusal>(&Answered->Answer_);
      Limiter_.finish(Answered->Id_,
                      Refused && Refused->Outcome_ == Outcome::NotRun, Now);
    }
  if (auto Request = Limiter_.takeRequest(Now))
    Out.emplace_back(SendTokenRequest{std::move(*Request)});
  for (TeamRefusalChanged &Changed : Limiter_.takeRefusalChanges())
    Out.emplace_back(std::move(Changed));
  if (Limiter_.counts() != ReportedCounts_) {
    ReportedCounts_ = Limiter_.counts();
    Out.emplace_back(ReportedCounts_);
  }
}

void Gateway::on(const TokensGranted &Incoming, TimePoint Now, Effects &Out) {
  Limiter_.accept(Incoming.Grant_, Now, TokenVerdicts_);
  applyTokenVerdicts(Now, Out);
}

void Gateway::openAdmitted(const RequestReceived &Incoming,
                           RequestExecution NewExecution, TimePoint Now,
                           Effects &Out) {
  RequestExecution &Execution = Dispatcher_.open(std::move(NewExecution));
  if (Incoming.IsForwarded_ || !forward(Execution, Now, Out))
    serveLocally(Execution, Now, Out);
}

void Gateway::on(const CallerDisconnected &Incoming, TimePoint Now,
                 Effects &Out) {
  std::erase_if(HeldRequests_, [&](const HeldRequest &Held) {
    return Held.Incoming_.Request_->Id_ == Incoming.Id_;
  });
  if (LimitedRequests_.erase(Incoming.Id_) > 0)
    Limiter_.cancel(Incoming.Id_);
  RequestExecution *Execution = Dispatcher_.find(Incoming.Id_);
  if (Execution && Execution->phase() != RequestExecution::Phase::Answered)
    Dispatcher_.refuse(*Execution, RefusalReason::CallerGone, Now, Out);
}

void Gateway::on(const AttemptFinished &Incoming, TimePoint Now, Effects &Out) {
  Dispatcher_.endAttempt(Incoming, Now, Out);
}

void Gateway::on(const CatalogChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Dispatcher_.configure(Incoming);
}

void Gateway::on(const RoutingChanged &Incoming, TimePoint Now, Effects &Out) {
  if (Routes_ && Incoming.Table_->version() < Routes_->version())
    return;
  Routes_ = Incoming.Table_;
  Limiter_.setTeams(Routes_->teams());
  Dispatcher_.configure(
      CatalogChanged{Routes_->version(), Routes_->policies()});
  std::deque<HeldRequest> HeldRequests;
  HeldRequests.swap(HeldRequests_);
  for (const HeldRequest &Held : HeldRequests)
    openByRoute(Held.Incoming_, Now, Out);
}

void Gateway::on(const InstanceChanged &Incoming, TimePoint Now, Effects &Out) {
  const ServiceName &Name = Incoming.Record_.Service_;
  Dispatcher_.service(Name).pool().apply(Incoming.Record_, Now);
  Dispatcher_.handlePoolChange(Name, Now, Out);
}

void Gateway::on(const LoadReported &Incoming, TimePoint Now,
                 Effects & /*Out*/) {
  Dispatcher_.service(Incoming.Service_)
      .pool()
      .updateReportedLoad(Incoming.Instance_, Incoming.Busy_, Now);
}

void Gateway::on(const EjectionsChanged &Incoming, TimePoint Now,
                 Effects &Out) {
  Dispatcher_.service(Incoming.Service_)
      .pool()
      .setEjections(Incoming.Ejected_, Incoming.ValidUntil_, Now);
  Dispatcher_.handlePoolChange(Incoming.Service_, Now, Out);
}

void Gateway::on(const FingerprintsQuarantined &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Dispatcher_.quarantine(Incoming);
}

void Gateway::on(const ClaimDecided &Incoming, TimePoint Now, Effects &Out) {
  bool IsGranted = std::holds_alternative<ClaimGranted>(Incoming.Decision_);
  RequestExecution *Execution = Dispatcher_.find(Incoming.Id_);
  if (!Execution) {
    if (IsGranted)
      Out.emplace_back(ReleaseKey{Incoming.Id_});
    return;
  }
  if (Execution->phase() != RequestExecution::Phase::Claiming)
    return;
  Execution->setPhase(RequestExecution::Phase::Waiting);
  if (!IsGranted)
    return Dispatcher_.close(*Execution, std::get<Answer>(Incoming.Decision_),
                             Now, Out);
  Execution->grantClaim();
  Dispatcher_.recordStep(*Execution, StepKind::Claimed, {}, Out);
  Dispatcher_.dispatchOrQueue(*Execution, Now, Out);
}

void Gateway::on(const HomesChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Dispatcher_.service(Incoming.Service_).setHomes(Incoming.Homes_);
}

void Gateway::on(const ForwardAnswered &Incoming, TimePoint Now, Effects &Out) {
  RequestExecution *Execution = Dispatcher_.find(Incoming.Id_);
  if (!Execution || Execution->phase() != RequestExecution::Phase::Forwarded)
    return;
  Answer Final = Incoming.Answer_;
  auto *Refused = std::get_if<Refusal>(&Final);
  bool IsRefusedOnArrival = Refused && isRefusedOnArrival(Refused->Reason_);
  bool IsHomeLost = Refused && Refused->Reason_ == RefusalReason::HomeLost;
  bool IsNotRun = Refused && Refused->Outcome_ == Outcome::NotRun;
  bool MayHaveRun = !IsRefusedOnArrival && !IsNotRun;
  Execution->endForward(MayHaveRun);
  if (!IsHomeLost && !IsRefusedOnArrival) {
    // An earlier home may have run the request even if this one did not.
    if (IsNotRun && Execution->mayHaveRun())
      Refused->Outcome_ = Outcome::Unknown;
    return Dispatcher_.close(*Execution, std::move(Final), Now, Out);
  }
  ServiceRouter &Router = Dispatcher_.service(Execution->request().Service_);
  Router.markHomeLost(Execution->home(), Now);
  // Forwarding again takes nothing from the retry budget: the attempts of the
  // lost home ended with its connections, so the load of the upstreams does not
  // grow.
  if (MayHaveRun && !Execution->isRepeatable())
    return Dispatcher_.refuse(*Execution, RefusalReason::HomeLost, Now, Out);
  if (!forward(*Execution, Now, Out))
    serveLocally(*Execution, Now, Out);
}

void Gateway::on(const DrainStarted &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  if (!Drain_)
    Drain_ = Incoming;
  Drain_->AdmitUntil_ = std::min(Drain_->AdmitUntil_, Incoming.AdmitUntil_);
  Drain_->FinishBy_ = std::min(Drain_->FinishBy_, Incoming.FinishBy_);
  Dispatcher_.setFinishBy(Drain_->FinishBy_);
}

void Gateway::refuseNew(const Request &Received, RefusalReason Reason,
                        Effects &Out, std::optional<Duration> RetryAfter) {
  // An earlier copy of a request with a key may have run; only a claim could
  // rule that out.
  const ServiceRouter *Router = Dispatcher_.findService(Received.Service_);
  bool IsRepeatable =
      Router && Router->policy() && Router->policy()->Profile_.isRepeatable();
  bool IsCertain = IsRepeatable || !Received.Key_;
  Refusal Refused{
      IsCertain ? Outcome::NotRun : Outcome::Unknown, Reason, RetryAfter, {}};
  if (Reason == RefusalReason::Draining ||
      Reason == RefusalReason::Overloaded || Reason == RefusalReason::NotReady)
    Refused.RetryAfter_ = RefusalRetryAfter;
  Out.emplace_back(RecordStep{Received.Id_,
                              StepKind::Refused,
                              Received.Service_,
                              Dispatcher_.version(),
                              {},
                              {},
                              refusalReasonName(Reason)});
  Out.emplace_back(AnswerCaller{Received.Id_, Refused, Dispatcher_.version()});
}

bool Gateway::forward(RequestExecution &Execution, TimePoint Now,
                      Effects &Out) {
  ServiceRouter &Router = Dispatcher_.service(Execution.request().Service_);
  std::optional<MemberId> Home = Router.chooseHome(Now);
  if (!Home || Execution.forwards() >= MaxForwards ||
      Now + ForwardMargin >= Execution.deadline())
    return false;
  if (Execution.forwards() == 0)
    Router.budget().depositFirstAttempt();
  Execution.beginForward(*Home);
  Dispatcher_.recordStep(Execution, StepKind::Forwarded, Home->text(), Out);
  Out.emplace_back(ForwardRequest{*Home, Execution.sharedRequest(),
                                  Execution.deadline() - ForwardMargin});
  return true;
}

void Gateway::serveLocally(RequestExecution &Execution, TimePoint Now,
                           Effects &Out) {
  if (!Execution.needsClaim())
    return Dispatcher_.dispatchOrQueue(Execution, Now, Out);
  Execution.setPhase(RequestExecution::Phase::Claiming);
  Out.emplace_back(ClaimKey{Execution.sharedRequest(), Execution.deadline()});
}

} // namespace jaybridge
