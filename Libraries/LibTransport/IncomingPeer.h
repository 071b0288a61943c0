#pragma once

#include <LibTransport/PeerCounters.h>
#include <LibTransport/PeerFrame.h>

#include <asio.hpp>

#include <functional>
#include <memory>

// Included by the .cpp files of the transport only.

namespace jaybridge {

/// An accepted connection, on which messages are received.
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer> {
public:
  struct Callbacks {
    std::function<void(Envelope)> Received_;
    std::function<void(const PeerHello &)> Introduced_;
    std::function<void(IncomingPeer &)> Closed_;
  };

  IncomingPeer(asio::ip::tcp::socket Socket,
               const PeerTransportOptions &Options, PeerCounters &Counters,
               Callbacks Deliver);
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
  Callbacks Deliver_;
  FrameHeader Header_{};
  FrameStart Start_;
  std::string Payload_;
  /// Empty until the token was checked.
  MemberId Sender_;
};

} // namespace jaybridge
