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

// Internal header of the transport.

namespace jaybridge {

/// The send queue of one peer and the connection on which its frames are
/// written. `push()` is thread-safe; the other functions run on the transport's
/// thread.
class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer> {
public:
  OutgoingPeer(asio::io_context &Context, Endpoint Address,
               const PeerTransportOptions &Options, std::string Hello,
               PeerCounters &Counters,
               std::function<void(const Endpoint &)> OnConnectionLost);
  OutgoingPeer(const OutgoingPeer &) = delete;
  OutgoingPeer &operator=(const OutgoingPeer &) = delete;

  /// Queues a frame and connects if necessary.
  SendResult push(std::string Frame);
  void close();
  /// Whether the queue is empty and no frame was queued for longer than the
  /// given time.
  bool isIdleFor(Duration IdleTime) const;

private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct QueuedFrame {
    std::string Frame_;
    SteadyTime QueuedAt_;
  };
  enum class State { Closed, Opening, Open, BackingOff };

  void connectOrWrite();
  void open();
  void sendHello();
  void watchForClose();
  void writeQueuedFrames();
  void handleFailure(bool WasEstablished);
  void backOff();
  std::vector<std::string> takeQueuedFrames();
  bool hasQueuedFrames() const;
  void dropExpiredFrames(SteadyTime Now);

  asio::io_context &Context_;
  const Endpoint Address_;
  const PeerTransportOptions &Options_;
  const std::string Hello_;
  PeerCounters &Counters_;
  std::function<void(const Endpoint &)> OnConnectionLost_;

  mutable std::mutex Mutex_;
  std::deque<QueuedFrame> Queue_;
  std::size_t QueuedBytes_ = 0;
  SteadyTime LastUsedAt_ = std::chrono::steady_clock::now();
  /// Whether a posted call of `connectOrWrite()` has not run yet.
  bool IsPosted_ = false;

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  State State_ = State::Closed;
  bool IsWriting_ = false;
  /// Number of the current connection. Completion handlers of earlier
  /// connections compare it and do nothing.
  std::uint64_t Generation_ = 0;
  Duration Backoff_;
  unsigned char ReplyByte_ = 0;
  std::vector<std::string> FramesInFlight_;
};

} // namespace jaybridge
