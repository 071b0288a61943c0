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
  /// Port 0 lets the kernel choose; see `PeerTransport::address()`.
  Endpoint Address_{};
  /// Where peers reach this daemon; the bound address when empty.
  Endpoint AdvertisedAddress_{};
  AccessToken Token_;
  /// Bounds of what waits for one peer.
  MessageCount MaxQueuedMessages_{1024};
  ByteCount MaxQueuedBytes_{16UL * 1024 * 1024};
  /// Longest payload that is sent or accepted.
  ByteCount MaxPayloadSize_{8UL * 1024 * 1024};
  /// A message that could not be written for so long is dropped. A forwarded
  /// request carries the time left when it was encoded, so that a long wait
  /// here would extend its deadline.
  Duration MessageLifetime_ = 1s;
  Duration MinBackoff_ = 50ms;
  Duration MaxBackoff_ = 1s;
  /// Connections without messages are closed after this time.
  Duration IdleTimeout_ = 60s;
};

enum class SendResult {
  /// In the peer's queue; delivery is not certain.
  Queued,
  QueueFull,
  UnknownMember,
  TooLong,
  Stopped,
};

struct PeerTransportCounts {
  EventCount Sent_;
  EventCount Received_;
  /// Refused because the peer's queue was full.
  EventCount QueueFull_;
  /// Dropped because they could not be written in time.
  EventCount Expired_;
  EventCount Connections_;
  EventCount ConnectFailures_;
  /// Handshakes without the right token.
  EventCount Unauthorized_;
  /// Connections that broke the protocol.
  EventCount Malformed_;
};

/// Carries messages between daemons over TCP, on a thread of its own. A daemon
/// sends on the connections that it opened and receives on those that it
/// accepted. Messages to one peer arrive in order or not at all; none arrives
/// twice.
class PeerTransport {
public:
  struct Callbacks {
    /// Called on the transport's thread; must not block.
    std::function<void(Envelope)> Received_;
    /// A connection to the peer failed or ended with messages under way. May
    /// be empty.
    std::function<void(const Endpoint &)> Lost_;
  };

  /// Binds and starts. Fails when the address cannot be bound.
  static Result<PeerTransport> create(PeerTransportOptions Options,
                                      Callbacks Deliver);
  ~PeerTransport();
  PeerTransport(PeerTransport &&) noexcept;
  PeerTransport &operator=(PeerTransport &&) noexcept;

  /// The bound address with the port that is in use.
  const Endpoint &address() const;
  PeerTransportCounts counts() const;

  /// Says where a member is reached. Members that connect to this daemon
  /// become known by their handshake.
  void setAddress(const MemberId &Member, const Endpoint &Address);
  /// Removes a member that has left.
  void forget(const MemberId &Member);

  /// From any thread; never blocks.
  [[nodiscard]] SendResult send(const Endpoint &Peer, MessageKind Kind,
                                std::string Payload);
  [[nodiscard]] SendResult send(const MemberId &Peer, MessageKind Kind,
                                std::string Payload);

  /// Closes all connections and ends the thread.
  void stop();

private:
  class Network;
  explicit PeerTransport(std::unique_ptr<Network> Running);

  std::unique_ptr<Network> Network_;
};

} // namespace jaybridge
