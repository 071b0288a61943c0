#pragma once

#include <LibTransport/PeerCounters.h>
#include <LibTransport/PeerFrame.h>

#include <asio.hpp>

#include <functional>
#include <memory>

// Internal header of the transport.

namespace jaybridge {

/// An accepted connection from a peer, which only receives messages.
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer> {
public:
  struct Callbacks {
    std::function<void(Envelope)> Received_;
    std::function<void(const PeerHello &)> Authenticated_;
    std::function<void(IncomingPeer &)> Closed_;
  };

  IncomingPeer(asio::ip::tcp::socket Socket,
               const PeerTransportOptions &Options, PeerCounters &Counters,
               Callbacks Handlers);
  IncomingPeer(const IncomingPeer &) = delete;
  IncomingPeer &operator=(const IncomingPeer &) = delete;

  void start();
  void close();

private:
  void readHeader();
  void readPayload();
  void onPayload();
  void onHello();

  asio::ip::tcp::socket Socket_;
  asio::steady_timer HelloTimer_;
  const PeerTransportOptions &Options_;
  PeerCounters &Counters_;
  Callbacks Handlers_;
  FrameHeaderBytes HeaderBytes_{};
  FrameHeader Header_;
  std::string Payload_;
  /// Empty until the handshake's token is verified.
  MemberId Sender_;
};

} // namespace jaybridge
