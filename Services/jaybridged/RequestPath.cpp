#include <RequestPath.h>

#include <LibHTTP/RequestIdGenerator.h>

namespace jaybridge {

namespace {

/// Holds the events of every request in progress, with room to spare.
constexpr RingCapacity DecisionRing(65536);

} // namespace

Result<std::unique_ptr<RequestPath>>
RequestPath::create(RequestPathOptions Options, RequestPathOutlets Outlets) {
  JAYBRIDGE_TRY(Gateway Decisions,
                Gateway::create(Options.Gateway_, Options.Seed_));
  std::unique_ptr<RequestPath> Path(new RequestPath(
      std::move(Decisions), Options.Gateway_.Self_, std::move(Outlets)));
  RequestPath &Self = *Path;
  JAYBRIDGE_TRY(Self.Upstreams_,
                UpstreamClient::create(Options.Upstreams_,
                                       [&Self](AttemptFinished Finished) {
                                         Self.post(std::move(Finished));
                                       }));
  Self.Decisions_.start([&Self](GatewayEffect Effect) {
    return Self.deliver(std::move(Effect));
  });
  CallerListenerCallbacks Sinks;
  Sinks.Received_ = [&Self](std::shared_ptr<const Request> Received) {
    if (Self.Outlets_.Received_)
      Self.Outlets_.Received_(*Received);
    return Self.Decisions_.ring().tryPush(
        GatewayEvent(RequestReceived{std::move(Received), false}));
  };
  Sinks.Disconnected_ = [&Self](RequestId Id) {
    Self.post(CallerDisconnected{std::move(Id)});
  };
  JAYBRIDGE_TRY(Self.Callers_,
                CallerListener::create(Options.Callers_, std::move(Sinks)));
  return Path;
}

RequestPath::RequestPath(Gateway Decisions, MemberId Self,
                         RequestPathOutlets Outlets)
    : Self_(std::move(Self)), Outlets_(std::move(Outlets)),
      Decisions_(std::move(Decisions), DecisionRing) {}

// The listener ends first, so that no event arrives at a stopped thread; the
// client's last outcomes are then discarded by the closed ring.
RequestPath::~RequestPath() {
  if (Callers_)
    Callers_->stop();
  Decisions_.stop();
}

void RequestPath::post(GatewayEvent Event) {
  // A closed ring means that the daemon ends; nobody waits for the event.
  (void)Decisions_.ring().push(std::move(Event));
}

bool RequestPath::postForwarded(std::shared_ptr<const Request> Forwarded) {
  return Decisions_.ring().tryPush(
      GatewayEvent(RequestReceived{std::move(Forwarded), true}));
}

RequestPathCounts RequestPath::counts() const {
  return RequestPathCounts{
      EventCount(Counters_.Answered_), EventCount(Counters_.RefusedNotRun_),
      EventCount(Counters_.RefusedRan_), EventCount(Counters_.RefusedUnknown_),
      EventCount(Counters_.RingsFull_)};
}

bool RequestPath::drain(Duration Limit) {
  Callers_->stopAccepting();
  post(DrainStarted{});
  return Callers_->waitUntilAnswered(Limit);
}

std::optional<GatewayEvent> RequestPath::deliver(GatewayEffect Effect) {
  return std::visit([this](auto &Each) { return deliver(Each); }, Effect);
}

std::optional<GatewayEvent> RequestPath::deliver(SendAttempt &Effect) {
  AttemptId Attempt = Effect.Attempt_;
  if (Upstreams_->start(std::move(Effect)))
    return std::nullopt;
  ++Counters_.RingsFull_;
  AttemptOutcome NotStarted;
  NotStarted.Result_ = AttemptResult::ConnectFailed;
  return AttemptFinished{Attempt, std::move(NotStarted)};
}

std::optional<GatewayEvent> RequestPath::deliver(CancelAttempt &Effect) {
  // An attempt that cannot be cancelled ends at its deadline.
  if (!Upstreams_->cancel(Effect.Attempt_))
    ++Counters_.RingsFull_;
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(AnswerCaller &Effect) {
  count(Effect.Answer_);
  if (MemberId Receiver = receivingMemberOf(Effect.Id_); Receiver != Self_)
    Outlets_.AnswerForward_(std::move(Receiver), std::move(Effect));
  else
    Callers_->answer(Effect.Id_, std::move(Effect.Answer_), Effect.Version_);
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ClaimKey &Effect) {
  RequestId Id = Effect.Request_->Id_;
  if (Outlets_.Claim_(std::move(Effect)))
    return std::nullopt;
  ++Counters_.RingsFull_;
  // An earlier copy of the request may have run, so the refusal cannot say
  // not-run.
  return ClaimDecided{
      std::move(Id),
      Answer(Refusal{Outcome::Unknown, RefusalReason::LedgerUnavailable,
                     std::chrono::seconds(1), "the ledger's ring is full"})};
}

std::optional<GatewayEvent> RequestPath::deliver(ReleaseKey &Effect) {
  // A claim that is not released is answered as unknown when it is overdue.
  if (!Outlets_.Release_(std::move(Effect)))
    ++Counters_.RingsFull_;
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(FinishKey &Effect) {
  if (!Outlets_.Finish_(std::move(Effect)))
    ++Counters_.RingsFull_;
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ReportAttempt &Effect) {
  Outlets_.Observe_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ReportRetry &Effect) {
  if (Outlets_.RetrySpent_)
    Outlets_.RetrySpent_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ForwardRequest &Effect) {
  RequestId Id = Effect.Request_->Id_;
  if (Outlets_.Forward_(std::move(Effect)))
    return std::nullopt;
  ++Counters_.RingsFull_;
  return ForwardAnswered{
      std::move(Id),
      Answer(Refusal{Outcome::NotRun, RefusalReason::HomeLost,
                     std::chrono::seconds(1), "the home is not connected"})};
}

std::optional<GatewayEvent> RequestPath::deliver(CancelForward &Effect) {
  Outlets_.CancelForward_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(RecordStep &Effect) {
  Outlets_.Record_(std::move(Effect));
  return std::nullopt;
}

void RequestPath::count(const Answer &Given) {
  const auto *Refused = std::get_if<Refusal>(&Given);
  if (Refused == nullptr)
    ++Counters_.Answered_;
  else if (Refused->Outcome_ == Outcome::NotRun)
    ++Counters_.RefusedNotRun_;
  else if (Refused->Outcome_ == Outcome::Ran)
    ++Counters_.RefusedRan_;
  else
    ++Counters_.RefusedUnknown_;
}

} // namespace jaybridge
