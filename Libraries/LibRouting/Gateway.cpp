#include <LibRouting/Gateway.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Time after which a caller refused at the door may try again.
constexpr Duration RetryAfter = 1s;
/// Homes that one request is forwarded to before it is served here.
constexpr std::size_t GreatestForwards = 2;
/// Kept back from the deadline of a forwarded request, so that the home's
/// refusal arrives before this gateway's own.
constexpr Duration ForwardMargin = 2ms;

/// A home gives these reasons only before it does anything with a request.
bool isRefusedAtTheDoor(RefusalReason Reason) {
  return Reason == RefusalReason::Draining || Reason == RefusalReason::NotReady;
}

} // namespace

Result<Gateway> Gateway::create(GatewaySettings Settings, RandomSeed Seed) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "self must not be empty", "self"};
  if (Settings.GreatestRequests_ < EventCount(1))
    return Error{ErrorCode::Invalid, "greatest-requests must be at least 1",
                 "greatest-requests"};
  if (Settings.QueueCapacity_ < EventCount(1))
    return Error{ErrorCode::Invalid, "queue-capacity must be at least 1",
                 "queue-capacity"};
  return Gateway(std::move(Settings), Seed);
}

void Gateway::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
}

void Gateway::on(const RequestReceived &Incoming, TimePoint Now, Effects &Out) {
  const Request &Received = *Incoming.Request_;
  if (Requests_.find(Received.Id_))
    return;
  Out.emplace_back(RecordStep{Received.Id_,
                              StepKind::Received,
                              Received.Service_,
                              Requests_.version(),
                              {},
                              {},
                              Incoming.IsForwarded_ ? "forwarded" : ""});
  if (IsDraining_)
    return refuseNew(Received, RefusalReason::Draining, Out);
  const ServiceRouter *Known = Requests_.findService(Received.Service_);
  if (!Known || !Known->policy())
    return refuseNew(Received, RefusalReason::UnknownService, Out);
  const Profile &Rules = Known->policy()->Profile_;
  TimePoint Deadline = Received.Deadline_.value_or(Now + Rules.patience());
  if (Deadline <= Now)
    return refuseNew(Received, RefusalReason::DeadlinePassed, Out);
  if (Requests_.requestCount() >= Settings_.GreatestRequests_.value() &&
      !Requests_.makeRoom(Rules.weight(), Now, Out))
    return refuseNew(Received, RefusalReason::Overloaded, Out);
  RequestExecution &Opened =
      Requests_.open(RequestExecution(Incoming.Request_, Rules, Deadline));
  if (Incoming.IsForwarded_ || !forward(Opened, Now, Out))
    serveHere(Opened, Now, Out);
}

void Gateway::on(const CallerGone &Incoming, TimePoint Now, Effects &Out) {
  RequestExecution *Running = Requests_.find(Incoming.Id_);
  if (Running && Running->phase() != RequestExecution::Phase::Settling)
    Requests_.refuse(*Running, RefusalReason::CallerGone, Now, Out);
}

void Gateway::on(const AttemptFinished &Incoming, TimePoint Now, Effects &Out) {
  Requests_.endAttempt(Incoming, Now, Out);
}

void Gateway::on(const CatalogChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Requests_.configure(Incoming);
}

void Gateway::on(const InstanceChanged &Incoming, TimePoint Now, Effects &Out) {
  const ServiceName &Name = Incoming.Record_.Service_;
  Requests_.service(Name).pool().apply(Incoming.Record_, Now);
  Requests_.resume(Name, Now, Out);
}

void Gateway::on(const LoadReported &Incoming, TimePoint Now,
                 Effects & /*Out*/) {
  Requests_.service(Incoming.Service_)
      .pool()
      .report(Incoming.Instance_, Incoming.Busy_, Now);
}

void Gateway::on(const EjectionsChanged &Incoming, TimePoint Now,
                 Effects &Out) {
  Requests_.service(Incoming.Service_)
      .pool()
      .eject(Incoming.Ejected_, Incoming.ValidUntil_, Now);
  Requests_.resume(Incoming.Service_, Now, Out);
}

void Gateway::on(const FingerprintsQuarantined &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Requests_.quarantine(Incoming.Fingerprints_);
}

void Gateway::on(const ClaimDecided &Incoming, TimePoint Now, Effects &Out) {
  bool IsGranted = std::holds_alternative<ClaimGranted>(Incoming.Decision_);
  RequestExecution *Waiting = Requests_.find(Incoming.Id_);
  if (!Waiting) {
    if (IsGranted)
      Out.emplace_back(ReleaseKey{Incoming.Id_});
    return;
  }
  if (Waiting->phase() != RequestExecution::Phase::Claiming)
    return;
  Waiting->setPhase(RequestExecution::Phase::Waiting);
  if (!IsGranted)
    return Requests_.close(*Waiting, std::get<Answer>(Incoming.Decision_), Now,
                           Out);
  Waiting->grantClaim();
  Requests_.recordStep(*Waiting, StepKind::Claimed, {}, Out);
  Requests_.place(*Waiting, Now, Out);
}

void Gateway::on(const HomesChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  Requests_.service(Incoming.Service_).setHomes(Incoming.Preferred_);
}

void Gateway::on(const ForwardAnswered &Incoming, TimePoint Now, Effects &Out) {
  RequestExecution *Forwarded = Requests_.find(Incoming.Id_);
  if (!Forwarded || Forwarded->phase() != RequestExecution::Phase::Forwarded)
    return;
  Answer Final = Incoming.Answer_;
  auto *Refused = std::get_if<Refusal>(&Final);
  bool IsAtTheDoor = Refused && isRefusedAtTheDoor(Refused->Reason_);
  bool IsLost = Refused && Refused->Reason_ == RefusalReason::HomeLost;
  bool IsNotRun = Refused && Refused->Outcome_ == Outcome::NotRun;
  bool MayHaveRun = !IsAtTheDoor && !IsNotRun;
  Forwarded->endForward(MayHaveRun);
  if (!IsLost && !IsAtTheDoor) {
    // An earlier home may have run what this one did not.
    if (IsNotRun && Forwarded->mayHaveRun())
      Refused->Outcome_ = Outcome::Unknown;
    return Requests_.close(*Forwarded, std::move(Final), Now, Out);
  }
  ServiceRouter &Router = Requests_.service(Forwarded->request().Service_);
  Router.loseHome(Forwarded->home(), Now);
  // No retry budget is needed: the lost home's attempts ended with its
  // connections, so the upstreams carry no more than before.
  if (MayHaveRun && !Forwarded->isRepeatable())
    return Requests_.refuse(*Forwarded, RefusalReason::HomeLost, Now, Out);
  if (!forward(*Forwarded, Now, Out))
    serveHere(*Forwarded, Now, Out);
}

void Gateway::on(const DrainStarted & /*Incoming*/, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  IsDraining_ = true;
}

void Gateway::refuseNew(const Request &Received, RefusalReason Reason,
                        Effects &Out) {
  // An earlier copy of a keyed request may have run, and only a claim could
  // rule that out.
  const ServiceRouter *Known = Requests_.findService(Received.Service_);
  bool IsRepeatable =
      Known && Known->policy() && Known->policy()->Profile_.isRepeatable();
  bool IsCertain = IsRepeatable || !Received.Key_;
  Refusal Refused{
      IsCertain ? Outcome::NotRun : Outcome::Unknown, Reason, std::nullopt, {}};
  if (Reason == RefusalReason::Draining || Reason == RefusalReason::Overloaded)
    Refused.RetryAfter_ = RetryAfter;
  Out.emplace_back(RecordStep{Received.Id_,
                              StepKind::Refused,
                              Received.Service_,
                              Requests_.version(),
                              {},
                              {},
                              refusalReasonName(Reason)});
  Out.emplace_back(AnswerCaller{Received.Id_, Refused, Requests_.version()});
}

bool Gateway::forward(RequestExecution &Ready, TimePoint Now, Effects &Out) {
  ServiceRouter &Router = Requests_.service(Ready.request().Service_);
  std::optional<MemberId> Home = Router.chooseHome(Now);
  if (!Home || Ready.forwards() >= GreatestForwards ||
      Now + ForwardMargin >= Ready.deadline())
    return false;
  if (Ready.forwards() == 0)
    Router.budget().depositFirstAttempt();
  Ready.beginForward(*Home);
  Requests_.recordStep(Ready, StepKind::Forwarded, Home->text(), Out);
  Out.emplace_back(ForwardRequest{*Home, Ready.sharedRequest(),
                                  Ready.deadline() - ForwardMargin});
  return true;
}

void Gateway::serveHere(RequestExecution &Ready, TimePoint Now, Effects &Out) {
  if (!Ready.needsClaim())
    return Requests_.place(Ready, Now, Out);
  Ready.setPhase(RequestExecution::Phase::Claiming);
  Out.emplace_back(ClaimKey{Ready.sharedRequest(), Ready.deadline()});
}

} // namespace jaybridge
