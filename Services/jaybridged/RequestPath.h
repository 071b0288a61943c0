#pragma once

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

/// Where the request path hands what is not its own. No call waits; a false
/// result means that the receiver's ring is full.
struct RequestPathOutlets {
  std::function<bool(ClaimKey)> Claim_;
  std::function<bool(ReleaseKey)> Release_;
  std::function<bool(FinishKey)> Finish_;
  std::function<void(ObserveAttempt)> Observe_;
  /// May be empty.
  std::function<void(RetrySpent)> RetrySpent_;
  std::function<bool(ForwardRequest)> Forward_;
  std::function<void(CancelForward)> CancelForward_;
  /// Answer to a request that another daemon forwarded to this one.
  std::function<void(MemberId, AnswerCaller)> AnswerForward_;
  std::function<void(RecordStep)> Record_;
  /// Told of each request that arrives from a caller; may be empty.
  std::function<void(const Request &)> Received_;
};

struct RequestPathCounts {
  EventCount Answered_;
  EventCount RefusedNotRun_;
  EventCount RefusedRan_;
  EventCount RefusedUnknown_;
  /// Effects that came back because a ring was full.
  EventCount RingsFull_;
};

/// The threads that a request passes: the listener for callers, the gateway's
/// decisions, and the client towards upstreams.
class RequestPath {
public:
  static Result<std::unique_ptr<RequestPath>>
  create(RequestPathOptions Options, RequestPathOutlets Outlets);
  ~RequestPath();
  RequestPath(const RequestPath &) = delete;
  RequestPath &operator=(const RequestPath &) = delete;

  /// Waits for space in the gateway's ring; the gateway never waits for the
  /// threads that call this.
  void post(GatewayEvent Event);
  /// A request that another daemon forwarded. False when the ring is full.
  [[nodiscard]] bool postForwarded(std::shared_ptr<const Request> Forwarded);

  const CallerListener &callers() const { return *Callers_; }
  const UpstreamClient &upstreams() const { return *Upstreams_; }
  RequestPathCounts counts() const;

  /// Closes callers' connections after their next answer.
  void closeAfterAnswers() { Callers_->closeAfterAnswers(); }
  /// Takes no new connections; requests on open ones are still served.
  void stopAccepting() { Callers_->stopAccepting(); }
  /// Refuses new requests and waits until those in progress are answered.
  /// False when some were not answered within the limit.
  [[nodiscard]] bool drain(Duration Limit);

private:
  struct Counters {
    std::atomic<std::uint64_t> Answered_{0};
    std::atomic<std::uint64_t> RefusedNotRun_{0};
    std::atomic<std::uint64_t> RefusedRan_{0};
    std::atomic<std::uint64_t> RefusedUnknown_{0};
    std::atomic<std::uint64_t> RingsFull_{0};
  };

  RequestPath(Gateway Decisions, MemberId Self, RequestPathOutlets Outlets);

  std::optional<GatewayEvent> deliver(GatewayEffect Effect);
  std::optional<GatewayEvent> deliver(SendAttempt &Effect);
  std::optional<GatewayEvent> deliver(CancelAttempt &Effect);
  std::optional<GatewayEvent> deliver(AnswerCaller &Effect);
  std::optional<GatewayEvent> deliver(ClaimKey &Effect);
  std::optional<GatewayEvent> deliver(ReleaseKey &Effect);
  std::optional<GatewayEvent> deliver(FinishKey &Effect);
  std::optional<GatewayEvent> deliver(ObserveAttempt &Effect);
  std::optional<GatewayEvent> deliver(RetrySpent &Effect);
  std::optional<GatewayEvent> deliver(ForwardRequest &Effect);
  std::optional<GatewayEvent> deliver(CancelForward &Effect);
  std::optional<GatewayEvent> deliver(RecordStep &Effect);
  void count(const Answer &Given);

  MemberId Self_;
  RequestPathOutlets Outlets_;
  Counters Counters_;
  EventLoopThread<Gateway> Decisions_;
  std::optional<UpstreamClient> Upstreams_;
  std::optional<CallerListener> Callers_;
};

} // namespace jaybridge
