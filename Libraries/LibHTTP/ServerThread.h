#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>

#include <restinio/all.hpp>

#include <memory>
#include <thread>

// Included by the .cpp files of the listeners only.

namespace jaybridge {

/// Hosts one RESTinio server on a thread of its own.
template <typename Traits> class ServerThread {
public:
  using Server = restinio::http_server_t<Traits>;
  using Settings = restinio::server_settings_t<Traits>;

  ServerThread() = default;
  ~ServerThread() { stop(); }
  ServerThread(const ServerThread &) = delete;
  ServerThread &operator=(const ServerThread &) = delete;

  /// Binds and starts; returns the address with the port that is in use.
  Result<Endpoint> start(const Endpoint &Address, Settings Given) {
    std::uint16_t Bound = 0;
    Given.port(Address.port().value())
        .address(Address.address())
        .socket_options_setter([](auto &Socket) {
          Socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([&Bound](auto &Acceptor) {
          Bound = Acceptor.local_endpoint().port();
        });
    try {
      Server_ = std::make_unique<Server>(
          restinio::external_io_context(*Context_), std::move(Given));
      Server_->open_sync();
    } catch (const std::exception &Failure) {
      Server_.reset();
      return Error{ErrorCode::Unavailable,
                   "cannot listen on " + Address.text() + ": " + Failure.what(),
                   {}};
    }
    Thread_ = std::thread([this] { Context_->run(); });
    return Endpoint::create(Address.address(), Port(Bound));
  }

  /// Runs the action on the server's thread.
  template <typename Action> void post(Action Deferred) {
    restinio::asio_ns::post(*Context_, std::move(Deferred));
  }

  /// Called on the server's thread.
  void closeAcceptor() {
    try {
      Server_->close_sync();
    } catch (const std::exception &) {
      // The acceptor is closed when the server is destroyed.
    }
  }

  /// Ends the thread; connections are closed when the server is destroyed.
  void stop() {
    if (!Thread_.joinable())
      return;
    Context_->stop();
    Thread_.join();
  }

private:
  // Connections refer to the context, so it is destroyed last.
  std::unique_ptr<restinio::asio_ns::io_context> Context_ =
      std::make_unique<restinio::asio_ns::io_context>(1);
  std::unique_ptr<Server> Server_;
  std::thread Thread_;
};

} // namespace jaybridge
