#include <LibTransport/IncomingPeer.h>

#include <LibTransport/SocketOptions.h>

namespace jaybridge {

namespace {

/// Connections that do not complete the handshake within this time are closed.
constexpr Duration HelloTimeout = 2s;
constexpr unsigned char AcceptedReply = HelloAccepted;

} // namespace

IncomingPeer::IncomingPeer(asio::ip::tcp::socket Socket,
                           const PeerTransportOptions &Options,
                           PeerCounters &Counters, Callbacks Handlers)
    : Socket_(std::move(Socket)), HelloTimer_(Socket_.get_executor()),
      Options_(Options), Counters_(Counters), Handlers_(std::move(Handlers)) {}

void IncomingPeer::start() {
  configurePeerSocket(Socket_);
  HelloTimer_.expires_after(HelloTimeout);
  HelloTimer_.async_wait([Self = shared_from_this()](asio::error_code Code) {
    if (!Code && Self->Sender_.isEmpty())
      Self->close();
  });
  readHeader();
}

void IncomingPeer::readHeader() {
  asio::async_read(
      Socket_, asio::buffer(HeaderBytes_),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        if (Code) {
          Self->close();
          return;
        }
        Self->Header_ = decodeFrameHeader(Self->HeaderBytes_);
        Self->readPayload();
      });
}

void IncomingPeer::readPayload() {
  const bool IsHello = Sender_.isEmpty();
  const std::uint64_t MaxLength =
      IsHello ? MaxHelloSize : Options_.MaxPayloadSize_.value();
  const bool IsExpectedKind =
      IsHello ? Header_.Kind_ == HelloKind : isMessageKind(Header_.Kind_);
  if (Header_.Length_ > MaxLength || !IsExpectedKind) {
    PeerCounters::increment(Counters_.Malformed_);
    close();
    return;
  }
  Payload_.resize(Header_.Length_);
  asio::async_read(
      Socket_, asio::buffer(Payload_),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        if (Code)
          Self->close();
        else
          Self->onPayload();
      });
}

void IncomingPeer::onPayload() {
  if (Sender_.isEmpty()) {
    onHello();
    return;
  }
  PeerCounters::increment(Counters_.Received_);
  Handlers_.Received_({static_cast<MessageKind>(Header_.Kind_), Sender_,
                       std::exchange(Payload_, {})});
  readHeader();
}

void IncomingPeer::onHello() {
  auto Hello = decodeHello(Payload_);
  if (!Hello) {
    PeerCounters::increment(Counters_.Malformed_);
    close();
    return;
  }
  if (!Options_.Token_.isEqualTo(Hello.value().Token_)) {
    PeerCounters::increment(Counters_.Unauthorized_);
    close();
    return;
  }
  HelloTimer_.cancel();
  Sender_ = Hello.value().Member_;
  Handlers_.Authenticated_(Hello.value());
  asio::async_write(
      Socket_, asio::buffer(&AcceptedReply, 1),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        if (Code)
          Self->close();
      });
  readHeader();
}

void IncomingPeer::close() {
  if (!Socket_.is_open())
    return;
  HelloTimer_.cancel();
  asio::error_code Ignored;
  Socket_.close(Ignored);
  Handlers_.Closed_(*this);
}

} // namespace jaybridge
