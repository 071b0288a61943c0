#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibRuntime/AccessToken.h>
#include <LibWire/Envelope.h>

#include <functional>
#include <memory>

namespace jaybridge {

using MessageCount = Quantity<struct MessageCountTag, std::size_t>;

struct PeerTransportOptions {
  MemberId Member_{};
  /// Port 0 binds an ephemeral port; see `PeerTransport::address()`.
  Endpoint Address_{};
  /// Address at which peers reach this daemon; the bound address when empty.
  Endpoint AdvertisedAddress_{};
  AccessToken Token_;
  /// Bounds of the queue of each peer.
  MessageCount MaxQueuedMessages_{1024};
  ByteCount MaxQueuedBytes_{16UL * 1024 * 1024};
  /// Maximum payload that is sent or accepted.
  ByteCount MaxPayloadSize_{8UL * 1024 * 1024};
  /// A message that stays in the queue for longer is dropped. A forwarded
  /// request carries the remaining time as of its encoding, so a long wait in
  /// the queue would extend its deadline.
  Duration MessageLifetime_ = 1s;
  Duration MinBackoff_ = 50ms;
  Duration MaxBackoff_ = 1s;
  /// Connections are closed when no message was sent for this time.
  Duration IdleTimeout_ = 60s;
};

enum class SendResult {
  /// Added to the peer's queue; delivery is not guaranteed.
  Queued,
  QueueFull,
  UnknownMember,
  PayloadTooLarge,
  Stopped,
};

struct PeerTransportCounts {
  EventCount Sent_;
  EventCount Received_;
  /// Messages refused because the peer's queue was full.
  EventCount QueueFull_;
  /// Messages dropped because they were not written within their lifetime.
  EventCount Expired_;
  EventCount Connections_;
  EventCount ConnectFailures_;
  /// Handshakes with a wrong token.
  EventCount Unauthorized_;
  /// Connections closed because of a protocol violation.
  EventCount Malformed_;
};

/// Exchanges messages between daemons over TCP, on its own thread. A daemon
/// sends on the connections that it opened and receives on those that it
/// accepted. Messages to one peer are delivered at most once and in order; some
/// may be lost.
class PeerTransport {
public:
  struct Callbacks {
    /// A message was received. Called on the transport's thread; must not
    /// block.
    std::function<void(Envelope)> Received_;
    /// A connection to the peer failed or ended, so messages may be lost.
    /// Called on the transport's thread. May be empty.
    std::function<void(const Endpoint &)> ConnectionLost_;
  };

  /// Binds the address and starts the thread. Fails with `Unavailable` when the
  /// address cannot be bound.
  static Result<PeerTransport> create(PeerTransportOptions Options,
                                      Callbacks Handlers);
  ~PeerTransport();
  PeerTransport(PeerTransport &&) noexcept;
  PeerTransport &operator=(PeerTransport &&) noexcept;

  /// The bound address with the actual port.
  const Endpoint &address() const;
  PeerTransportCounts counts() const;

  /// Sets the address of a member. The address of a member that connects to
  /// this daemon is also learned from its handshake.
  void setAddress(const MemberId &Member, const Endpoint &Address);
  /// Forgets the address of a member that has left.
  void forget(const MemberId &Member);

  /// Queues a message for the peer. Thread-safe; does not wait for the network.
  [[nodiscard]] SendResult send(const Endpoint &Peer, MessageKind Kind,
                                std::string Payload);
  [[nodiscard]] SendResult send(const MemberId &Peer, MessageKind Kind,
                                std::string Payload);

  /// Closes all connections and stops the thread.
  void stop();

private:
  class Network;
  explicit PeerTransport(std::unique_ptr<Network> Running);

  std::unique_ptr<Network> Network_;
};

} // namespace jaybridge
