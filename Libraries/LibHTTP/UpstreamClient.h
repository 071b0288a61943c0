#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/HeaderDialect.h>
#include <LibRouting/GatewayMessages.h>

#include <functional>
#include <memory>

namespace jaybridge {

using CommandQueueCapacity =
    Quantity<struct CommandQueueCapacityTag, std::size_t>;

struct UpstreamClientOptions {
  /// Attempts with a larger response body end as `ResponseTooLarge`.
  ByteCount AnswerLimit_{4UL * 1024 * 1024};
  /// Limit of the response bodies of all attempts in progress together. Above
  /// it the attempt with the largest body ends as `ResponseTooLarge`.
  ByteCount BufferLimit_{32UL * 1024 * 1024};
  /// Timeout for opening a connection; the attempt's deadline applies as well.
  Duration ConnectTimeout_ = 500ms;
  /// A kept-alive connection that was idle for longer is not reused. Rounded up
  /// to whole seconds. Upstreams usually close idle connections after 60 s or
  /// more.
  Duration IdleTimeout_ = 20s;
  CommandQueueCapacity CommandQueueCapacity_{8192};
  HeaderDialect Dialect_{};
  /// When false, each attempt opens its own connection, so that it cannot
  /// receive a late or extra response to an earlier attempt.
  bool ReusesConnections_ = true;
};

struct UpstreamClientCounts {
  EventCount Started_;
  EventCount Connections_;
  /// Requests that libcurl tried to resend on a new connection; each resend was
  /// prevented.
  EventCount ResendsPrevented_;
  /// Responses that name another request than the one that was sent.
  EventCount Misattributed_;
  /// Responses whose head violates HTTP/1.1; none of them was forwarded.
  EventCount Malformed_;
  /// Responses that were cut off because of their size.
  EventCount TooLarge_;
};

/// Sends attempts to upstreams over HTTP/1.1 with kept-alive connections. Runs
/// on its own thread. Each attempt's request is written to at most one
/// connection.
class UpstreamClient {
public:
  /// Called on the client's thread, exactly once for each started attempt.
  using Callback = std::function<void(AttemptFinished)>;

  /// Starts the thread. Fails with `Internal` when libcurl cannot be
  /// initialized.
  static Result<UpstreamClient> create(UpstreamClientOptions Options,
                                       Callback OnFinished);
  /// Ends the attempts in progress as `Cancelled`.
  ~UpstreamClient();
  UpstreamClient(UpstreamClient &&) noexcept;
  UpstreamClient &operator=(UpstreamClient &&) noexcept;

  /// Queues an attempt. Thread-safe. Returns false when the command ring is
  /// full; the callback is then not called. An attempt whose deadline has
  /// passed when it leaves the ring ends as `ConnectFailed` with an elapsed
  /// time of 0.
  [[nodiscard]] bool start(SendAttempt Attempt);
  /// Closes the attempt's connection, so that the upstream can stop working.
  /// Thread-safe. Has no effect when the attempt has ended. Returns false when
  /// the command ring is full.
  [[nodiscard]] bool cancel(AttemptId Attempt);

  UpstreamClientCounts counts() const;

private:
  class Driver;
  explicit UpstreamClient(std::unique_ptr<Driver> Running);

  std::unique_ptr<Driver> Driver_;
};

} // namespace jaybridge
