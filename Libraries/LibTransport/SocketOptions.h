#pragma once

#include <LibCore/Time.h>

#include <asio.hpp>

#include <netinet/tcp.h>

// Included by the .cpp files of the transport only.

namespace jaybridge {

template <int Name>
using TCPOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Bounds how long a connection to a silent peer lives. Without the bounds, TCP
/// tries again at growing intervals for about 15 minutes, and a peer stays cut
/// off long after a partition has healed.
inline void configurePeerSocket(asio::ip::tcp::socket &Socket) {
  // Less than the time in which a member has to be back in contact after a
  // partition; retransmissions alone may take several seconds to resume.
  constexpr std::chrono::milliseconds UnacknowledgedLimit = 1200ms;
  constexpr int IdleSeconds = 20;
  constexpr int ProbeSeconds = 5;
  constexpr int Probes = 3;
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TCPOption<TCP_KEEPIDLE>(IdleSeconds), Ignored);
  Socket.set_option(TCPOption<TCP_KEEPINTVL>(ProbeSeconds), Ignored);
  Socket.set_option(TCPOption<TCP_KEEPCNT>(Probes), Ignored);
  Socket.set_option(TCPOption<TCP_USER_TIMEOUT>(
                        static_cast<int>(UnacknowledgedLimit.count())),
                    Ignored);
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

} // namespace jaybridge
