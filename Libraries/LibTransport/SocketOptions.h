#pragma once

#include <LibCore/Time.h>

#include <asio.hpp>

#include <netinet/tcp.h>

// Internal header of the transport.

namespace jaybridge {

template <int Name>
using TCPOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Disables Nagle's algorithm and bounds how long a connection to an
/// unresponsive peer stays open. Without the bounds, TCP retransmits with
/// exponential backoff for about 15 minutes, and the peer stays unreachable
/// long after a network partition has ended.
inline void configurePeerSocket(asio::ip::tcp::socket &Socket) {
  // Shorter than the time within which members must reconnect after a
  // partition; with backoff, the next retransmission alone may be several
  // seconds away.
  constexpr std::chrono::milliseconds UnacknowledgedTimeout = 1200ms;
  constexpr int KeepaliveIdleSeconds = 20;
  constexpr int KeepaliveIntervalSeconds = 5;
  constexpr int KeepaliveProbeCount = 3;
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TCPOption<TCP_KEEPIDLE>(KeepaliveIdleSeconds), Ignored);
  Socket.set_option(TCPOption<TCP_KEEPINTVL>(KeepaliveIntervalSeconds),
                    Ignored);
  Socket.set_option(TCPOption<TCP_KEEPCNT>(KeepaliveProbeCount), Ignored);
  Socket.set_option(TCPOption<TCP_USER_TIMEOUT>(
                        static_cast<int>(UnacknowledgedTimeout.count())),
                    Ignored);
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

} // namespace jaybridge
