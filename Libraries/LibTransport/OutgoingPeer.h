#pragma once

#include <LibTransport/PeerCounters.h>
#include <LibTransport/PeerTransport.h>

#include <asio.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

// Included by the .cpp files of the transport only.

namespace jaybridge {

/// The queue of one peer and the connection on which it is written. `push()`
/// is for any thread, the rest for the transport's thread.
class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer> {
public:
  OutgoingPeer(asio::io_context &Context, Endpoint Address,
               const PeerTransportOptions &Options, std::string Hello,
               PeerCounters &Counters,
               std::function<void(const Endpoint &)> OnLost);
  OutgoingPeer(const OutgoingPeer &) = delete;
  OutgoingPeer &operator=(const OutgoingPeer &) = delete;

  SendResult push(std::string Frame);
  void close();
  /// Nothing waits, and nothing was sent for the given time.
  bool isIdleFor(Duration Limit) const;

private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Queued {
    std::string Frame_;
    SteadyTime At_;
  };
  enum class State { Closed, Opening, Open, BackingOff };

  void advance();
  void open();
  void sendHello();
  void watch();
  void writeQueued();
  void fail(bool WasOpen);
  void backOff();
  std::vector<std::string> takeQueued();
  bool hasQueued() const;
  void dropExpired(SteadyTime Now);

  asio::io_context &Context_;
  const Endpoint Address_;
  const PeerTransportOptions &Options_;
  const std::string Hello_;
  PeerCounters &Counters_;
  std::function<void(const Endpoint &)> OnLost_;

  mutable std::mutex Mutex_;
  std::deque<Queued> Queue_;
  std::size_t QueuedBytes_ = 0;
  SteadyTime UsedAt_ = std::chrono::steady_clock::now();
  /// `advance()` was posted and has not run yet.
  bool IsPosted_ = false;

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  State State_ = State::Closed;
  bool IsWriting_ = false;
  /// Ignores completions of connections that have been given up.
  std::uint64_t Generation_ = 0;
  Duration Backoff_;
  unsigned char Accepted_ = 0;
  std::vector<std::string> Frames_;
};

} // namespace jaybridge
