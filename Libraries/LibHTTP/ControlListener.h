#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibExchange/Request.h>
#include <LibHTTP/CallerListener.h>
#include <LibRuntime/AccessToken.h>

#include <functional>
#include <memory>
#include <optional>

namespace jaybridge {

struct ControlRequest {
  std::string Method_;
  /// Request target without the query.
  std::string Path_;
  std::string Query_;
  std::vector<Header> Headers_;
  std::string Body_;
};

struct ControlResponse {
  StatusCode Status_{200};
  std::string ContentType_ = "application/json";
  std::string Body_;
  std::vector<Header> Headers_{};
};

/// Sends the response. Thread-safe; must be called at most once.
using ControlReply = std::function<void(ControlResponse)>;
/// Handles a request. Called on the listener's thread; must not block.
using ControlHandler = std::function<void(ControlRequest, ControlReply)>;

enum class ControlAccess { Open, TokenRequired };

struct ControlRoute {
  std::string Method_;
  /// Exact path, or a prefix when it ends with '/'. The longest match wins.
  std::string Path_;
  ControlAccess Access_ = ControlAccess::TokenRequired;
  ControlHandler Handler_;
};

struct ControlListenerOptions {
  /// Port 0 binds an ephemeral port; see `ControlListener::address()`.
  Endpoint Address_;
  /// Without a token, every request is authorized and unknown paths are
  /// answered with 404.
  std::optional<AccessToken> Token_;
  ByteCount BodyLimit_{64UL * 1024};
  /// Bytes of all requests together that are not answered yet. At least one
  /// request of the greatest size has to fit.
  ByteCount ReceiveLimit_{2UL * 1024 * 1024};
  /// Beyond this number, the connection that was idle for longest is closed for
  /// a new one.
  ConnectionCount MaxConnections_{2048};
};

struct ControlListenerCounts {
  EventCount Received_;
  /// Requests that lacked a required token or presented a wrong one.
  EventCount Unauthorized_;
};

/// HTTP/1.1 server for announcements or operators, which runs on its own
/// thread. Clients authenticate with `Authorization: Bearer TOKEN`. What they
/// send is bounded as for callers: requests that do not fit are refused with
/// 503, and stalled ones are cut off.
class ControlListener {
public:
  /// Binds the address and starts the thread. Fails with `Unavailable` when the
  /// address cannot be bound.
  static Result<ControlListener> create(ControlListenerOptions Options,
                                        std::vector<ControlRoute> Routes);
  ~ControlListener();
  ControlListener(ControlListener &&) noexcept;
  ControlListener &operator=(ControlListener &&) noexcept;

  /// The bound address with the actual port.
  const Endpoint &address() const;
  ControlListenerCounts counts() const;
  /// Closes all connections and stops the thread.
  void stop();

private:
  class Server;
  explicit ControlListener(std::unique_ptr<Server> Running);

  std::unique_ptr<Server> Server_;
};

/// Routes for `/metrics`, `/healthz` and `/readyz`, which need no token. The
/// functions are called on the listener's thread.
std::vector<ControlRoute> statusRoutes(std::function<std::string()> Metrics,
                                       std::function<bool()> IsReady);

} // namespace jaybridge
