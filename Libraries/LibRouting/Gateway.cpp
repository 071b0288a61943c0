#include <LibRouting/Gateway.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Time after which a caller refused at the door may try again.
constexpr Duration RetryAfter = 1s;
/// A gateway that has just started is told its routes within about a second;
/// what can be answered then is not refused before.
constexpr Duration EarlyPatience = 800ms;
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
  if (Received.Service_.isEmpty())
    return openByRoute(Incoming, Now, Out);
  const ServiceRouter *Known = Requests_.findService(Received.Service_);
  if (!Known || !Known->policy())
    return refuseNew(Received, RefusalReason::UnknownService, Out);
  const Profile &Rules = Known->policy()->Profile_;
  TimePoint Deadline = Received.Deadline_.value_or(Now + Rules.patience());
  open(Incoming, RequestExecution(Incoming.Request_, Rules, Deadline), Now,
       Out);
}

void Gateway::openByRoute(const RequestReceived &Incoming, TimePoint Now,
                          Effects &Out) {
  const Request &Received = *Incoming.Request_;
  if (!Routes_)
    return holdEarly(Incoming, Now, Out);
  const Route *Taken = Routes_->find(
      hostNameOf(Received.Authority_),
      std::string_view(Received.Target_).substr(0, Received.Target_.find('?')));
  if (!Taken)
    return refuseNew(Received, RefusalReason::UnknownService, Out);
  auto Routed = std::make_shared<Request>(Received);
  Routed->Service_ = choosePart(*Taken);
  TimePoint Deadline = Now + Taken->Rules_.patience();
  if (Received.Deadline_)
    Deadline = std::min(Deadline, *Received.Deadline_);
  RequestExecution Started(std::move(Routed), Taken->Rules_, Deadline);
  Started.limitAttempts(Taken->Values_.GreatestAttempts_);
  open(Incoming, std::move(Started), Now, Out);
}

void Gateway::holdEarly(const RequestReceived &Incoming, TimePoint Now,
                        Effects &Out) {
  if (Early_.size() >= Settings_.QueueCapacity_.value())
    return refuseNew(*Incoming.Request_, RefusalReason::NotReady, Out);
  Early_.push_back(EarlyRequest{Incoming, Now + EarlyPatience});
}

void Gateway::refuseLateEarly(TimePoint Now, Effects &Out) {
  while (!Early_.empty() && Early_.front().GivesUpAt_ <= Now) {
    refuseNew(*Early_.front().Incoming_.Request_, RefusalReason::NotReady, Out);
    Early_.pop_front();
  }
}

const ServiceName &Gateway::choosePart(const Route &Taken) {
  std::uint64_t Sum = 0;
  for (const RoutePart &Part : Taken.Values_.Parts_)
    Sum += Part.Weight_.value();
  std::uint64_t Drawn = Random_.below(Sum);
  for (const RoutePart &Part : Taken.Values_.Parts_) {
    if (Drawn < Part.Weight_.value())
      return Part.Service_;
    Drawn -= Part.Weight_.value();
  }
  return Taken.Values_.Parts_.back().Service_;
}

void Gateway::open(const RequestReceived &Incoming, RequestExecution Started,
                   TimePoint Now, Effects &Out) {
  if (Started.deadline() <= Now)
    return refuseNew(Started.request(), RefusalReason::DeadlinePassed, Out);
  if (Requests_.requestCount() >= Settings_.GreatestRequests_.value() &&
      !Requests_.makeRoom(Started.weight(), Now, Out))
    return refuseNew(Started.request(), RefusalReason::Overloaded, Out);
  RequestExecution &Opened = Requests_.open(std::move(Started));
  if (Incoming.IsForwarded_ || !forward(Opened, Now, Out))
    serveHere(Opened, Now, Out);
}

void Gateway::on(const CallerGone &Incoming, TimePoint Now, Effects &Out) {
  std::erase_if(Early_, [&](const EarlyRequest &Each) {
    return Each.Incoming_.Request_->Id_ == Incoming.Id_;
  });
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

void Gateway::on(const RoutingChanged &Incoming, TimePoint Now, Effects &Out) {
  if (Routes_ && Incoming.Table_->version() < Routes_->version())
    return;
  Routes_ = Incoming.Table_;
  Requests_.configure(CatalogChanged{Routes_->version(), Routes_->policies()});
  std::deque<EarlyRequest> Early;
  Early.swap(Early_);
  for (const EarlyRequest &Each : Early)
    openByRoute(Each.Incoming_, Now, Out);
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
      .updateReportedLoad(Incoming.Instance_, Incoming.Busy_, Now);
}

void Gateway::on(const EjectionsChanged &Incoming, TimePoint Now,
                 Effects &Out) {
  Requests_.service(Incoming.Service_)
      .pool()
      .setEjections(Incoming.Ejected_, Incoming.ValidUntil_, Now);
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
  if (Reason == RefusalReason::Draining ||
      Reason == RefusalReason::Overloaded || Reason == RefusalReason::NotReady)
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
