#pragma once

#include <LibCore/DecisionRole.h>
#include <LibRouting/CallerAuthentication.h>
#include <LibRouting/ControlContact.h>
#include <LibRouting/GatewaySettings.h>
#include <LibRouting/RequestDispatcher.h>
#include <LibRouting/TeamLimiter.h>

#include <deque>

namespace jaybridge {

/// Decides about each request: whether it is admitted, whether it is forwarded
/// to a home or served by this gateway, when its key is claimed, and its one
/// answer.
///
/// The host must report the end of each SendAttempt with one AttemptFinished,
/// also after CancelAttempt, and answer each ClaimKey with one ClaimDecided.
/// ReleaseKey may be emitted while a claim is pending; the ledger then drops
/// the claim.
class Gateway {
public:
  using Event = GatewayEvent;
  using Effect = GatewayEffect;
  using Effects = std::vector<Effect>;

  /// Errors: Invalid when a setting is missing or out of range.
  static Result<Gateway> create(GatewaySettings Settings, RandomSeed Seed);

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const {
    auto Next = Dispatcher_.nextDeadline();
    if (!HeldRequests_.empty() &&
        (!Next || HeldRequests_.front().ExpiresAt_ < *Next))
      Next = HeldRequests_.front().ExpiresAt_;
    if (const auto Due = Limiter_.nextDeadline())
      Next = std::min(Next.value_or(*Due), *Due);
    return Next;
  }

  /// Where the request would go now, and why. Changes no state, and ignores the
  /// request's idempotency key.
  RoutingExplanation explain(const Request &Asked, TimePoint Now) const;

  /// True when a drain has started and no request or attempt is in progress.
  bool isDrained() const {
    return Drain_ && HeldRequests_.empty() && LimitedRequests_.empty() &&
           Dispatcher_.isIdle();
  }
  std::size_t requestCount() const { return Dispatcher_.requestCount(); }

private:
  bool isRefusingNew(TimePoint Now) const {
    return Drain_ && Now >= Drain_->AdmitUntil_;
  }

  Gateway(GatewaySettings Settings, RandomSeed Seed)
      : Settings_(std::move(Settings)),
        Dispatcher_(Settings_.Domain_, Settings_.QueueCapacity_,
                    Settings_.RetryBounds_, Seed, Settings_.Placement_),
        Limiter_(Seed), Random_(Seed) {}

  void on(const RequestReceived &Incoming, TimePoint Now, Effects &Out);
  void on(const CallerDisconnected &Incoming, TimePoint Now, Effects &Out);
  void on(const AttemptFinished &Incoming, TimePoint Now, Effects &Out);
  void on(const CatalogChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const RoutingChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const InstanceChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const LoadReported &Incoming, TimePoint Now, Effects &Out);
  void on(const EjectionsChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const FingerprintsQuarantined &Incoming, TimePoint Now, Effects &Out);
  void on(const ClaimDecided &Incoming, TimePoint Now, Effects &Out);
  void on(const HomesChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const ForwardAnswered &Incoming, TimePoint Now, Effects &Out);
  void on(const RetriesGranted &Incoming, TimePoint, Effects &) {
    Dispatcher_.addGrantedRetries(Incoming);
  }
  void on(const DrainStarted &Incoming, TimePoint Now, Effects &Out);
  void on(const ExplanationRequest &Incoming, TimePoint Now, Effects &Out);
  void on(const TokensGranted &Incoming, TimePoint Now, Effects &Out);
  void on(const ControlContactChanged &Incoming, TimePoint Now, Effects &) {
    ControlContact_.update(Incoming.IsConfirmed_, Now);
  }

  /// Admits or refuses a request whose service and profile are known.
  void open(const RequestReceived &Incoming, RequestExecution NewExecution,
            TimePoint Now, Effects &Out);
  /// Forwards or dispatches a request that may be sent to an instance.
  void openAdmitted(const RequestReceived &Incoming,
                    RequestExecution NewExecution, TimePoint Now, Effects &Out);
  /// Applies verdicts about requests that waited for a token.
  void applyTokenVerdicts(TimePoint Now, Effects &Out);
  void refuseLimited(const Request &Received, const TokenVerdict &Verdict,
                     Effects &Out);
  /// Returns the tokens of requests that were answered as not run since the
  /// given effect, and passes on the limiter's messages.
  void settleTokens(std::size_t FirstEffect, TimePoint Now, Effects &Out);
  /// Finds the route of a request that names no service and opens it.
  void openByRoute(const RequestReceived &Incoming, TimePoint Now,
                   Effects &Out);
  /// Draws a service of the route at random, by weight.
  const ServiceName &chooseService(const Route &Matched);
  /// Refuses a request that the dispatcher does not track yet.
  void refuseNew(const Request &Received, RefusalReason Reason, Effects &Out,
                 std::optional<Duration> RetryAfter = std::nullopt);
  /// Forwards the request to a home; false when there is no home or no time
  /// left, or when it was forwarded too often.
  bool forward(RequestExecution &Execution, TimePoint Now, Effects &Out);
  /// Claims the key of the request if it needs a claim, or else dispatches it.
  void serveLocally(RequestExecution &Execution, TimePoint Now, Effects &Out);

  RoutingExplanation explainRoute(const Request &Asked, TimePoint Now) const;
  ServiceExplanation explainService(const Request &Asked,
                                    const WeightedService &Part,
                                    const Profile &ServiceProfile,
                                    TimePoint Deadline, TimePoint Now) const;
  /// What would happen to a new request whose service and profile are known.
  AdmissionDecision assess(const RequestExecution &Execution,
                           TimePoint Now) const;

  GatewaySettings Settings_;
  std::optional<DrainStarted> Drain_;
  RequestDispatcher Dispatcher_;
  struct HeldRequest {
    RequestReceived Incoming_;
    TimePoint ExpiresAt_;
  };
  /// Holds a request that arrived before the first routing table, as after a
  /// restart.
  void holdUntilRouted(const RequestReceived &Incoming, TimePoint Now,
                       Effects &Out);
  /// Refuses the requests that were held for too long.
  void expireHeldRequests(TimePoint Now, Effects &Out);

  std::deque<HeldRequest> HeldRequests_;
  struct LimitedRequest {
    RequestReceived Incoming_;
    RequestExecution Execution_;
  };
  /// Requests that wait for a token of their team.
  std::map<RequestId, LimitedRequest> LimitedRequests_;
  TeamLimiter Limiter_;
  TeamLimiterCounts ReportedCounts_;
  std::vector<TokenDecided> TokenVerdicts_;
  std::shared_ptr<const RoutingTable> Routes_;
  ControlContact ControlContact_;
  Random Random_;
};

static_assert(DecisionRole<Gateway>);

} // namespace jaybridge
