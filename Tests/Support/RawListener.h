#pragma once

#include <Support/RawConnection.h>

#include <memory>

namespace jaybridge {

/// Listening socket on an ephemeral loopback port, for tests that act as an
/// upstream and write exact bytes.
class RawListener {
public:
  RawListener() : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *SocketAddress = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Length = sizeof(Address);
    if (bind(Socket_, SocketAddress, Length) == 0 && listen(Socket_, 16) == 0)
      getsockname(Socket_, SocketAddress, &Length);
    Address_ = Endpoint::create("127.0.0.1", Port(ntohs(Address.sin_port)))
                   .takeValue();
    // Makes a test fail instead of hang when no connection arrives.
    timeval Timeout{20, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  }
  ~RawListener() { close(); }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  const Endpoint &address() const { return Address_; }

  /// Waits for a connection; null when none arrives within the timeout.
  std::unique_ptr<RawConnection> accept() {
    const int Accepted = ::accept(Socket_, nullptr, nullptr);
    if (Accepted < 0)
      return nullptr;
    return std::make_unique<RawConnection>(Accepted);
  }

  void close() {
    if (Socket_ >= 0)
      ::close(Socket_);
    Socket_ = -1;
  }

private:
  int Socket_;
  Endpoint Address_;
};

} // namespace jaybridge
