#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibExchange/Answer.h>
#include <LibExchange/Request.h>
#include <LibHTTP/HeaderDialect.h>

#include <array>
#include <functional>
#include <memory>

namespace jaybridge {

using ConnectionCount = Quantity<struct ConnectionCountTag, std::uint32_t>;

struct CallerListenerOptions {
  /// Port 0 binds an ephemeral port; see `CallerListener::address()`.
  Endpoint Address_;
  MemberId Member_;
  WallTime StartedAt_;
  ByteCount BodyLimit_{1024UL * 1024};
  ConnectionCount MaxConnections_{4096};
  /// Bytes of all requests together that are not answered yet.
  ByteCount ReceiveLimit_{128UL * 1024 * 1024};
  /// Time after which a connection without an answer is closed; none if the
  /// receiver bounds it.
  std::optional<Duration> AnswerTimeout_{};
  HeaderDialect Dialect_{};
};

/// Callbacks, called on the listener's thread. They must not block.
struct CallerListenerCallbacks {
  /// A request was received. Returns false when the receiver's ring is full;
  /// the listener then refuses the request.
  std::function<bool(std::shared_ptr<const Request>)> Received_;
  /// The caller closed its connection before its request was answered.
  std::function<void(RequestId)> Disconnected_;
  /// The memory for requests has become short, or free again. May be empty.
  std::function<void(bool IsShort)> BudgetChanged_{};
};

/// What the listener counts.
enum class CallerEvent {
  Received,
  Refused,
  Disconnected,
  UndeliveredAnswer,
  Malformed,
  BodyTooLarge,
  /// Requests that did not fit into the memory for requests.
  BudgetRefused,
  /// Incomplete requests that were cut off to free memory.
  BudgetCutOff,
  HeadTimeout,
  BodyTimeout,
  /// Connections whose caller did not read its responses.
  WriteStalled,
  /// Idle connections that were closed in favour of new ones.
  IdleClosed,
  AcceptFailed,
};
inline constexpr std::size_t CallerEventCount =
    static_cast<std::size_t>(CallerEvent::AcceptFailed) + 1;

struct CallerListenerCounts {
  EventCount Received_;
  /// Requests that the listener itself refused: malformed, too large, or
  /// received while the ring was full.
  EventCount Refused_;
  /// Requests whose caller disconnected before the answer.
  EventCount Disconnected_;
  /// Answers that arrived after their caller had disconnected.
  EventCount UndeliveredAnswers_;
  /// All counts, indexed by CallerEvent.
  std::array<EventCount, CallerEventCount> Events_;

  EventCount of(CallerEvent Event) const {
    return Events_[static_cast<std::size_t>(Event)];
  }
};

/// HTTP/1.1 server for callers, which runs on its own thread. Connections are
/// kept alive. The owner must call `answer()` exactly once for each request
/// that it accepted.
class CallerListener {
public:
  /// Binds the address and starts the thread. Fails with `Unavailable` when the
  /// address cannot be bound.
  static Result<CallerListener> create(CallerListenerOptions Options,
                                       CallerListenerCallbacks Callbacks);
  ~CallerListener();
  CallerListener(CallerListener &&) noexcept;
  CallerListener &operator=(CallerListener &&) noexcept;

  /// The bound address with the actual port.
  const Endpoint &address() const;
  CallerListenerCounts counts() const;

  /// Writes the response, or the problem document of a refusal, to the caller.
  /// Thread-safe. When the caller has disconnected, the answer is dropped and
  /// counted.
  void answer(const RequestId &Id, Answer Content,
              ConfigurationVersion Version);

  /// Closes each connection after its next response; new connections are still
  /// accepted.
  void closeAfterAnswers();
  /// Stops accepting connections. Existing ones are closed after their next
  /// response.
  void stopAccepting();
  /// Waits until the response to every received request is written. Returns
  /// false on timeout.
  [[nodiscard]] bool waitUntilAnswered(Duration Timeout);
  /// Closes all connections and stops the thread.
  void stop();

private:
  class Server;
  explicit CallerListener(std::unique_ptr<Server> Running);

  std::unique_ptr<Server> Server_;
};

} // namespace jaybridge
