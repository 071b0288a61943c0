#pragma once

#include <LibCore/DecisionRole.h>
#include <LibRouting/GatewaySettings.h>
#include <LibRouting/RequestDispatcher.h>

#include <deque>

namespace jaybridge {

/// Decides about each request: whether it is admitted, whether it is forwarded
/// to a home or served here, when its key is claimed, and its one answer.
///
/// The host must report the end of each SendAttempt with one AttemptFinished,
/// also after CancelAttempt, and answer each ClaimKey with one ClaimDecided.
/// ReleaseKey may come while a claim is pending; the ledger then drops it.
class Gateway {
public:
  using Event = GatewayEvent;
  using Effect = GatewayEffect;
  using Effects = std::vector<Effect>;

  /// Errors: Invalid when a setting is missing or out of range.
  static Result<Gateway> create(GatewaySettings Settings, RandomSeed Seed);

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out) {
    refuseLateEarly(Now, Out);
    Requests_.advance(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    auto Next = Requests_.nextDeadline();
    if (!Early_.empty() && (!Next || Early_.front().GivesUpAt_ < *Next))
      Next = Early_.front().GivesUpAt_;
    return Next;
  }

  /// True when a drain has started and no request is in progress.
  bool isDrained() const { return IsDraining_ && Requests_.isIdle(); }
  std::size_t requestCount() const { return Requests_.requestCount(); }

private:
  Gateway(GatewaySettings Settings, RandomSeed Seed)
      : Settings_(std::move(Settings)),
        Requests_(Settings_.Domain_, Settings_.QueueCapacity_,
                  Settings_.RetryBounds_, Seed),
        Random_(Seed) {}

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
    Requests_.grantRetries(Incoming);
  }
  void on(const DrainStarted &Incoming, TimePoint Now, Effects &Out);

  /// Opens a request whose service and rules are known.
  void open(const RequestReceived &Incoming, RequestExecution Started,
            TimePoint Now, Effects &Out);
  /// Finds the route and the service of a request that names no service.
  void openByRoute(const RequestReceived &Incoming, TimePoint Now,
                   Effects &Out);
  const ServiceName &choosePart(const Route &Taken);
  /// Refuses a request that was never opened.
  void refuseNew(const Request &Received, RefusalReason Reason, Effects &Out);
  /// Forwards the request to a home; false when there is none to forward to.
  bool forward(RequestExecution &Ready, TimePoint Now, Effects &Out);
  void serveHere(RequestExecution &Ready, TimePoint Now, Effects &Out);

  GatewaySettings Settings_;
  bool IsDraining_ = false;
  RequestDispatcher Requests_;
  struct EarlyRequest {
    RequestReceived Incoming_;
    TimePoint GivesUpAt_;
  };
  /// Keeps a request until the routing table is known, as after a restart.
  void holdEarly(const RequestReceived &Incoming, TimePoint Now, Effects &Out);
  void refuseLateEarly(TimePoint Now, Effects &Out);

  std::deque<EarlyRequest> Early_;
  std::shared_ptr<const RoutingTable> Routes_;
  Random Random_;
};

static_assert(DecisionRole<Gateway>);

} // namespace jaybridge
