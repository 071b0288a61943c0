#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/HeaderDialect.h>
#include <LibRouting/GatewayMessages.h>

#include <functional>
#include <memory>

namespace jaybridge {

using CommandQueueCapacity = Quantity<struct CommandLimitTag, std::size_t>;

struct UpstreamClientOptions {
  /// Greater answers end as `TooLarge`.
  ByteCount AnswerLimit_{4UL * 1024 * 1024};
  /// Time for opening a connection, within the attempt's deadline.
  Duration ConnectTimeout_ = 500ms;
  /// A kept-alive connection is not used again after being idle for longer.
  /// Whole seconds. Upstreams usually close idle connections after 60 s or
  /// more.
  Duration IdleTimeout_ = 20s;
  CommandQueueCapacity Commands_{8192};
  HeaderDialect Dialect_{};
  /// Without it each attempt opens a connection of its own, so that no late or
  /// extra answer of an earlier attempt can be met.
  bool ReusesConnections_ = true;
};

struct UpstreamClientCounts {
  EventCount Started_;
  EventCount Connections_;
  /// Sends that libcurl wanted to repeat on a fresh connection and that were
  /// prevented.
  EventCount ResendsPrevented_;
};

/// Dispatches attempts over HTTP/1.1 with kept-alive connections, on a thread
/// of its own. A request is written to at most one connection.
class UpstreamClient {
public:
  /// Called on the client's thread, exactly once for each started attempt.
  using Sink = std::function<void(AttemptFinished)>;

  static Result<UpstreamClient> create(UpstreamClientOptions Options,
                                       Sink Finished);
  /// Ends open attempts as `Cancelled`.
  ~UpstreamClient();
  UpstreamClient(UpstreamClient &&) noexcept;
  UpstreamClient &operator=(UpstreamClient &&) noexcept;

  /// From any thread. False when the command ring is full: the attempt was not
  /// started and the sink is not called. An attempt whose deadline has passed
  /// when its turn comes ends as `ConnectFailed` with no elapsed time.
  [[nodiscard]] bool start(SendAttempt Attempt);
  /// Closes the attempt's connection, so that the upstream notices. Does
  /// nothing when the attempt has ended. False when the ring is full.
  [[nodiscard]] bool cancel(AttemptId Attempt);

  UpstreamClientCounts counts() const;

private:
  class Driver;
  explicit UpstreamClient(std::unique_ptr<Driver> Running);

  std::unique_ptr<Driver> Driver_;
};

} // namespace jaybridge
