#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibExchange/Answer.h>
#include <LibExchange/Request.h>
#include <LibHTTP/HeaderDialect.h>

#include <functional>
#include <memory>

namespace jaybridge {

using ConnectionCount = Quantity<struct ConnectionCountTag, std::uint32_t>;

struct CallerListenerOptions {
  /// Port 0 lets the kernel choose; see `CallerListener::address()`.
  Endpoint Address_;
  MemberId Member_;
  WallTime StartedAt_;
  ByteCount BodyLimit_{1024UL * 1024};
  ConnectionCount MaxConnections_{4096};
  HeaderDialect Dialect_{};
};

/// Where the listener's thread delivers. Neither call may block.
struct CallerListenerCallbacks {
  /// False when the receiving ring is full; the caller then gets a refusal.
  std::function<bool(std::shared_ptr<const Request>)> Received_;
  /// The caller closed its connection before it was answered.
  std::function<void(RequestId)> Disconnected_;
};

struct CallerListenerCounts {
  EventCount Received_;
  /// Refused by the listener itself: malformed, too large, or ring full.
  EventCount Refused_;
  EventCount Disconnected_;
  /// Answers that arrived after their caller had gone.
  EventCount UndeliveredAnswers_;
};

/// HTTP/1.1 server for callers on a thread of its own. Connections are kept
/// alive; each delivered request needs exactly one `answer()`.
class CallerListener {
public:
  /// Binds and starts. Fails when the address cannot be bound.
  static Result<CallerListener> create(CallerListenerOptions Options,
                                       CallerListenerCallbacks Sinks);
  ~CallerListener();
  CallerListener(CallerListener &&) noexcept;
  CallerListener &operator=(CallerListener &&) noexcept;

  /// The bound address with the port that is in use.
  const Endpoint &address() const;
  CallerListenerCounts counts() const;

  /// Writes the response or the problem document; from any thread. Does
  /// nothing when the caller has gone.
  void answer(const RequestId &Id, Answer Given, ConfigurationVersion Version);

  /// Closes each connection after its next answer, and still takes new ones.
  void closeAfterAnswers();
  /// Takes no new connections. Those that exist are closed after their next
  /// answer.
  void stopAccepting();
  /// Waits until every delivered request has been answered and written. False
  /// when that did not happen within the limit.
  [[nodiscard]] bool waitUntilAnswered(Duration Limit);
  /// Closes all connections and ends the thread.
  void stop();

private:
  class Server;
  explicit CallerListener(std::unique_ptr<Server> Running);

  std::unique_ptr<Server> Server_;
};

} // namespace jaybridge
