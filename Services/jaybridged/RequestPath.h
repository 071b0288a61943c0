#pragma once

#include <PendingExplanations.h>

#include <LibHTTP/CallerListener.h>
#include <LibHTTP/UpstreamClient.h>
#include <LibRouting/Gateway.h>
#include <LibRuntime/EventLoopThread.h>

#include <atomic>
#include <functional>
#include <memory>

namespace jaybridge {

struct RequestPathOptions {
  CallerListenerOptions Callers_;
  UpstreamClientOptions Upstreams_;
  GatewaySettings Gateway_;
  RandomSeed Seed_;
};

/// Receivers of the request path's effects on other parts of the daemon. They
/// must not block. False means that the receiver's ring is full.
struct RequestPathSinks {
  std::function<bool(ClaimKey)> Claim_;
  std::function<bool(ReleaseKey)> Release_;
  std::function<bool(FinishKey)> Finish_;
  std::function<void(ReportAttempt)> Observe_;
  /// May be empty.
  std::function<void(ReportOverdue)> Overdue_;
  /// May be empty.
  std::function<void(const CapacityChanged &)> CapacityChanged_;
  /// May be empty.
  std::function<void(ReportRetry)> RetrySpent_;
  /// May be empty, as are the next two, without limits of teams.
  std::function<void(SendTokenRequest)> TokensNeeded_;
  std::function<void(TeamRefusalChanged)> TeamRefusal_;
  std::function<void(TeamLimiterCounts)> LimiterCounts_;
  std::function<bool(ForwardRequest)> Forward_;
  std::function<void(CancelForward)> CancelForward_;
  /// Answer to a request that another daemon forwarded to this one.
  std::function<void(MemberId, AnswerCaller)> AnswerForward_;
  std::function<void(RecordStep)> Record_;
  /// Called for each request that arrives from a caller; may be empty.
  std::function<void(const Request &)> Received_;
  /// The memory for requests has become short, or free again; may be empty.
  std::function<void(bool IsShort)> ReceiveBudgetChanged_;
};

/// Answers since the start, by outcome.
struct RequestPathCounts {
  EventCount Answered_;
  EventCount RefusedNotRun_;
  EventCount RefusedRan_;
  EventCount RefusedUnknown_;
  /// Part of RefusedNotRun_: no instance had capacity, or instances rejected
  /// the request.
  EventCount RefusedForCapacity_;
  /// Part of RefusedNotRun_: no known key.
  EventCount RefusedUnauthorized_;
  /// Effects that could not be passed on because the receiver's ring was full.
  EventCount RingsFull_;
};

/// The threads through which a request passes: the listener for callers, the
/// gateway role that routes it, and the client for upstreams.
class RequestPath {
public:
  /// Part of a grace period that drain() has to leave for ending the process.
  static constexpr Duration ExitReserve = 300ms;

  static Result<std::unique_ptr<RequestPath>> create(RequestPathOptions Options,
                                                     RequestPathSinks Sinks);
  ~RequestPath();
  RequestPath(const RequestPath &) = delete;
  RequestPath &operator=(const RequestPath &) = delete;

  /// Blocks while the gateway's ring is full. This cannot deadlock, because the
  /// gateway's thread never waits for the threads that call this.
  void post(GatewayEvent Event);
  /// Passes on a request that another daemon forwarded. False when the ring is
  /// full.
  [[nodiscard]] bool postForwarded(std::shared_ptr<const Request> Forwarded);

  /// Asks the gateway's thread where the request would go now. Waits for at
  /// most the limit. Errors: Unavailable when the thread is busy for longer.
  Result<PendingExplanations::Explanation>
  explain(std::shared_ptr<const Request> Asked, std::optional<TeamName> Team,
          std::chrono::milliseconds Limit);

  const CallerListener &callers() const { return *Callers_; }
  const UpstreamClient &upstreams() const { return *Upstreams_; }
  RequestPathCounts counts() const;

  /// Closes each caller's connection after its next answer.
  void closeAfterAnswers() { Callers_->closeAfterAnswers(); }
  /// Takes no new connections; requests on open ones are still served.
  void stopAccepting() { Callers_->stopAccepting(); }
  /// Makes the gateway role answer the requests in progress in time for drain()
  /// with the same deadline. New ones are served until AdmitUntil, if they can
  /// end in time: see DrainStarted.
  void announceDrain(TimePoint AdmitUntil, TimePoint Deadline);
  /// Refuses new requests and waits until those in progress are answered.
  /// False when some were not answered by the deadline.
  [[nodiscard]] bool drain(TimePoint Deadline);

private:
  struct Counters {
    std::atomic<std::uint64_t> Answered_{0};
    std::atomic<std::uint64_t> RefusedNotRun_{0};
    std::atomic<std::uint64_t> RefusedRan_{0};
    std::atomic<std::uint64_t> RefusedUnknown_{0};
    std::atomic<std::uint64_t> RefusedForCapacity_{0};
    std::atomic<std::uint64_t> RefusedUnauthorized_{0};
    std::atomic<std::uint64_t> RingsFull_{0};
  };

  RequestPath(Gateway GatewayRole, MemberId Self, RequestPathSinks Sinks);

  std::optional<GatewayEvent> deliver(GatewayEffect Effect);
  std::optional<GatewayEvent> deliver(SendAttempt &Effect);
  std::optional<GatewayEvent> deliver(CancelAttempt &Effect);
  std::optional<GatewayEvent> deliver(AnswerCaller &Effect);
  std::optional<GatewayEvent> deliver(ClaimKey &Effect);
  std::optional<GatewayEvent> deliver(ReleaseKey &Effect);
  std::optional<GatewayEvent> deliver(FinishKey &Effect);
  std::optional<GatewayEvent> deliver(ReportAttempt &Effect);
  std::optional<GatewayEvent> deliver(ReportOverdue &Effect);
  std::optional<GatewayEvent> deliver(CapacityChanged &Effect);
  std::optional<GatewayEvent> deliver(ReportRetry &Effect);
  std::optional<GatewayEvent> deliver(SendTokenRequest &Effect);
  std::optional<GatewayEvent> deliver(TeamRefusalChanged &Effect);
  std::optional<GatewayEvent> deliver(TeamLimiterCounts &Effect);
  std::optional<GatewayEvent> deliver(ForwardRequest &Effect);
  std::optional<GatewayEvent> deliver(CancelForward &Effect);
  std::optional<GatewayEvent> deliver(RecordStep &Effect);
  std::optional<GatewayEvent> deliver(const ExplanationResponse &Effect);
  void count(const Answer &Counted);

  MemberId Self_;
  RequestPathSinks Sinks_;
  Counters Counters_;
  PendingExplanations Explanations_;
  EventLoopThread<Gateway> GatewayThread_;
  std::optional<UpstreamClient> Upstreams_;
  std::optional<CallerListener> Callers_;
};

} // namespace jaybridge
