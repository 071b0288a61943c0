#pragma once

#include <LibTransport/PeerTransport.h>

#include <atomic>

namespace jaybridge {

/// Counters of the transport. Thread-safe.
struct PeerCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter Sent_ = 0;
  Counter Received_ = 0;
  Counter QueueFull_ = 0;
  Counter Expired_ = 0;
  Counter Connections_ = 0;
  Counter ConnectFailures_ = 0;
  Counter Unauthorized_ = 0;
  Counter Malformed_ = 0;

  static void increment(Counter &Target, std::uint64_t Amount = 1) {
    Target.fetch_add(Amount, std::memory_order_relaxed);
  }

  PeerTransportCounts values() const {
    return {EventCount(Sent_),         EventCount(Received_),
            EventCount(QueueFull_),    EventCount(Expired_),
            EventCount(Connections_),  EventCount(ConnectFailures_),
            EventCount(Unauthorized_), EventCount(Malformed_)};
  }
};

} // namespace jaybridge
