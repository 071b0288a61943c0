#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>

#include <restinio/all.hpp>

#include <memory>
#include <thread>

// Internal header of the listeners.

namespace jaybridge {

/// Runs a RESTinio server on its own thread.
template <typename Traits> class ServerThread {
public:
  using Server = restinio::http_server_t<Traits>;
  using Settings = restinio::server_settings_t<Traits>;

  ServerThread() = default;
  ~ServerThread() { stop(); }
  ServerThread(const ServerThread &) = delete;
  ServerThread &operator=(const ServerThread &) = delete;

  /// Binds the address and starts the thread. Returns the address with the
  /// actual port; fails with `Unavailable` when the address cannot be bound.
  Result<Endpoint> start(const Endpoint &Address, Settings ServerSettings) {
    std::uint16_t BoundPort = 0;
    ServerSettings.port(Address.port().value())
        .address(Address.address())
        .socket_options_setter([](auto &Socket) {
          Socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([&BoundPort](auto &Acceptor) {
          BoundPort = Acceptor.local_endpoint().port();
        });
    try {
      Server_ = std::make_unique<Server>(
          restinio::external_io_context(*Context_), std::move(ServerSettings));
      Server_->open_sync();
    } catch (const std::exception &Failure) {
      Server_.reset();
      return Error{ErrorCode::Unavailable,
                   "cannot listen on " + Address.text() + ": " + Failure.what(),
                   {}};
    }
    Thread_ = std::thread([this] { Context_->run(); });
    return Endpoint::create(Address.address(), Port(BoundPort));
  }

  /// Runs the action on the server's thread. Thread-safe.
  template <typename Action> void post(Action Deferred) {
    restinio::asio_ns::post(*Context_, std::move(Deferred));
  }

  /// Stops accepting connections. Must be called on the server's thread.
  void closeAcceptor() {
    try {
      Server_->close_sync();
    } catch (const std::exception &) {
      // The acceptor is closed when the server is destroyed.
    }
  }

  /// Stops the thread. Connections are closed when the server is destroyed.
  void stop() {
    if (!Thread_.joinable())
      return;
    Context_->stop();
    Thread_.join();
  }

private:
  // Declared first and so destroyed last, since connections refer to it.
  std::unique_ptr<restinio::asio_ns::io_context> Context_ =
      std::make_unique<restinio::asio_ns::io_context>(1);
  std::unique_ptr<Server> Server_;
  std::thread Thread_;
};

} // namespace jaybridge
