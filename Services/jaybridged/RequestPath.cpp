#include <RequestPath.h>

#include <LibHTTP/RequestIdGenerator.h>
#include <LibRuntime/SystemClock.h>

namespace jaybridge {

namespace {

/// Enough for the events of all requests in progress, with a reserve.
constexpr RingCapacity GatewayRingCapacity(65536);
/// Time for writing the answers of requests that did not end in time.
constexpr Duration LastAnswersReserve = 200ms;

} // namespace

Result<std::unique_ptr<RequestPath>>
RequestPath::create(RequestPathOptions Options, RequestPathSinks Sinks) {
  JAYBRIDGE_TRY(Gateway GatewayRole,
                Gateway::create(Options.Gateway_, Options.Seed_));
  std::unique_ptr<RequestPath> Created(new RequestPath(
      std::move(GatewayRole), Options.Gateway_.Self_, std::move(Sinks)));
  RequestPath &Self = *Created;
  JAYBRIDGE_TRY(Self.Upstreams_,
                UpstreamClient::create(Options.Upstreams_,
                                       [&Self](AttemptFinished Finished) {
                                         Self.post(std::move(Finished));
                                       }));
  Self.GatewayThread_.start([&Self](GatewayEffect Effect) {
    return Self.deliver(std::move(Effect));
  });
  CallerListenerCallbacks ListenerCallbacks;
  ListenerCallbacks.Received_ =
      [&Self](std::shared_ptr<const Request> Received) {
        if (Self.Sinks_.Received_)
          Self.Sinks_.Received_(*Received);
        return Self.GatewayThread_.ring().tryPush(
            GatewayEvent(RequestReceived{std::move(Received), false}));
      };
  ListenerCallbacks.Disconnected_ = [&Self](RequestId Id) {
    Self.post(CallerDisconnected{std::move(Id)});
  };
  ListenerCallbacks.BudgetChanged_ = [&Self](bool IsShort) {
    if (Self.Sinks_.ReceiveBudgetChanged_)
      Self.Sinks_.ReceiveBudgetChanged_(IsShort);
  };
  JAYBRIDGE_TRY(
      Self.Callers_,
      CallerListener::create(Options.Callers_, std::move(ListenerCallbacks)));
  return Created;
}

RequestPath::RequestPath(Gateway GatewayRole, MemberId Self,
                         RequestPathSinks Sinks)
    : Self_(std::move(Self)), Sinks_(std::move(Sinks)),
      GatewayThread_(std::move(GatewayRole), GatewayRingCapacity) {}

// Stops the listener first, so that no request arrives at a stopped thread. The
// closed ring then discards the last results of the upstream client.
RequestPath::~RequestPath() {
  if (Callers_)
    Callers_->stop();
  GatewayThread_.stop();
}

void RequestPath::post(GatewayEvent Event) {
  // The ring is closed only when the daemon ends, and the event is then not
  // needed.
  (void)GatewayThread_.ring().push(std::move(Event));
}

bool RequestPath::postForwarded(std::shared_ptr<const Request> Forwarded) {
  return GatewayThread_.ring().tryPush(
      GatewayEvent(RequestReceived{std::move(Forwarded), true}));
}

RequestPathCounts RequestPath::counts() const {
  return RequestPathCounts{EventCount(Counters_.Answered_),
                           EventCount(Counters_.RefusedNotRun_),
                           EventCount(Counters_.RefusedRan_),
                           EventCount(Counters_.RefusedUnknown_),
                           EventCount(Counters_.RefusedForCapacity_),
                           EventCount(Counters_.RefusedUnauthorized_),
                           EventCount(Counters_.RingsFull_)};
}

void RequestPath::announceDrain(TimePoint AdmitUntil, TimePoint Deadline) {
  post(DrainStarted{AdmitUntil,
                    std::max(monotonicNow(), Deadline - LastAnswersReserve)});
}

bool RequestPath::drain(TimePoint Deadline) {
  Callers_->stopAccepting();
  post(DrainStarted{});
  return Callers_->waitUntilAnswered(
      std::max(Duration::zero(), Deadline - monotonicNow()));
}

std::optional<GatewayEvent> RequestPath::deliver(GatewayEffect Effect) {
  return std::visit([this](auto &TypedEffect) { return deliver(TypedEffect); },
                    Effect);
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
    Sinks_.AnswerForward_(std::move(Receiver), std::move(Effect));
  else
    Callers_->answer(Effect.Id_, std::move(Effect.Answer_), Effect.Version_);
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ClaimKey &Effect) {
  RequestId Id = Effect.Request_->Id_;
  if (Sinks_.Claim_(std::move(Effect)))
    return std::nullopt;
  ++Counters_.RingsFull_;
  // An earlier request with the same key may have run, so the outcome is
  // unknown and not not-run.
  return ClaimDecided{
      std::move(Id),
      Answer(Refusal{Outcome::Unknown, RefusalReason::LedgerUnavailable,
                     std::chrono::seconds(1),
                     "the ledger's event queue is full"})};
}

std::optional<GatewayEvent> RequestPath::deliver(ReleaseKey &Effect) {
  // A claim that is not released is overdue after its deadline and then
  // answered as unknown.
  if (!Sinks_.Release_(std::move(Effect)))
    ++Counters_.RingsFull_;
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(FinishKey &Effect) {
  if (!Sinks_.Finish_(std::move(Effect)))
    ++Counters_.RingsFull_;
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ReportAttempt &Effect) {
  Sinks_.Observe_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ReportOverdue &Effect) {
  if (Sinks_.Overdue_)
    Sinks_.Overdue_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(CapacityChanged &Effect) {
  if (Sinks_.CapacityChanged_)
    Sinks_.CapacityChanged_(Effect);
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ReportRetry &Effect) {
  if (Sinks_.RetrySpent_)
    Sinks_.RetrySpent_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(SendTokenRequest &Effect) {
  if (Sinks_.TokensNeeded_)
    Sinks_.TokensNeeded_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(TeamRefusalChanged &Effect) {
  if (Sinks_.TeamRefusal_)
    Sinks_.TeamRefusal_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(TeamLimiterCounts &Effect) {
  if (Sinks_.LimiterCounts_)
    Sinks_.LimiterCounts_(Effect);
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(ForwardRequest &Effect) {
  RequestId Id = Effect.Request_->Id_;
  if (Sinks_.Forward_(std::move(Effect)))
    return std::nullopt;
  ++Counters_.RingsFull_;
  return ForwardAnswered{
      std::move(Id), Answer(Refusal{Outcome::NotRun, RefusalReason::HomeLost,
                                    std::chrono::seconds(1),
                                    "the home daemon is not connected"})};
}

std::optional<GatewayEvent> RequestPath::deliver(CancelForward &Effect) {
  Sinks_.CancelForward_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent> RequestPath::deliver(RecordStep &Effect) {
  Sinks_.Record_(std::move(Effect));
  return std::nullopt;
}

std::optional<GatewayEvent>
RequestPath::deliver(const ExplanationResponse &Effect) {
  Explanations_.complete(Effect);
  return std::nullopt;
}

Result<PendingExplanations::Explanation>
RequestPath::explain(std::shared_ptr<const Request> Asked,
                     std::optional<TeamName> Team,
                     std::chrono::milliseconds Limit) {
  PendingExplanations::Ticket Opened = Explanations_.open();
  const ExplanationId Id = Opened.Id_;
  if (!GatewayThread_.ring().tryPush(GatewayEvent(
          ExplanationRequest{Id, std::move(Asked), std::move(Team)}))) {
    Explanations_.cancel(Id);
    return Error{ErrorCode::Unavailable, "the gateway's ring is full", {}};
  }
  return Explanations_.wait(std::move(Opened), Limit);
}

void RequestPath::count(const Answer &Counted) {
  const auto *AsRefusal = std::get_if<Refusal>(&Counted);
  if (AsRefusal != nullptr && AsRefusal->Outcome_ == Outcome::NotRun &&
      (AsRefusal->Reason_ == RefusalReason::Overloaded ||
       AsRefusal->Reason_ == RefusalReason::UpstreamUnavailable))
    ++Counters_.RefusedForCapacity_;
  if (AsRefusal && AsRefusal->Reason_ == RefusalReason::Unauthorized)
    ++Counters_.RefusedUnauthorized_;
  if (AsRefusal == nullptr)
    ++Counters_.Answered_;
  else if (AsRefusal->Reason_ == RefusalReason::AwaitsTurn)
    return; // Not an answer to the caller.
  else if (AsRefusal->Outcome_ == Outcome::NotRun)
    ++Counters_.RefusedNotRun_;
  else if (AsRefusal->Outcome_ == Outcome::Ran)
    ++Counters_.RefusedRan_;
  else
    ++Counters_.RefusedUnknown_;
}

} // namespace jaybridge
