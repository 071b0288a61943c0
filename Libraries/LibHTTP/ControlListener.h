#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibExchange/Request.h>
#include <LibRuntime/AccessToken.h>

#include <functional>
#include <memory>
#include <optional>

namespace jaybridge {

struct ControlRequest {
  std::string Method_;
  /// Without the query.
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

/// Answers the request; from any thread, at most once.
using ControlReply = std::function<void(ControlResponse)>;
/// Called on the listener's thread; must not block.
using ControlHandler = std::function<void(ControlRequest, ControlReply)>;

enum class ControlAccess { Open, TokenRequired };

struct ControlRoute {
  std::string Method_;
  /// Whole path, or with a final '/' all paths that begin with it. The longest
  /// match counts.
  std::string Path_;
  ControlAccess Access_ = ControlAccess::TokenRequired;
  ControlHandler Handler_;
};

struct ControlListenerOptions {
  /// Port 0 lets the kernel choose; see `ControlListener::address()`.
  Endpoint Address_;
  /// None when all routes are open; unknown paths are then answered 404.
  std::optional<AccessToken> Token_;
  ByteCount BodyLimit_{64UL * 1024};
};

struct ControlListenerCounts {
  EventCount Received_;
  /// Without a token or with a wrong one.
  EventCount Unauthorized_;
};

/// HTTP/1.1 server for announcements or operators on a thread of its own.
/// Callers present `Authorization: Bearer TOKEN`.
class ControlListener {
public:
  /// Binds and starts. Fails when the address cannot be bound.
  static Result<ControlListener> create(ControlListenerOptions Options,
                                        std::vector<ControlRoute> Routes);
  ~ControlListener();
  ControlListener(ControlListener &&) noexcept;
  ControlListener &operator=(ControlListener &&) noexcept;

  const Endpoint &address() const;
  ControlListenerCounts counts() const;
  /// Closes all connections and ends the thread.
  void stop();

private:
  class Server;
  explicit ControlListener(std::unique_ptr<Server> Running);

  std::unique_ptr<Server> Server_;
};

/// `/metrics`, `/healthz` and `/readyz`, open to all. The functions are called
/// on the listener's thread.
std::vector<ControlRoute> statusRoutes(std::function<std::string()> Metrics,
                                       std::function<bool()> IsReady);

} // namespace jaybridge
