#include <LibTransport/IncomingPeer.h>

#include <LibTransport/SocketOptions.h>

namespace jaybridge {

namespace {

/// Connections without a handshake are closed after this time.
constexpr Duration HelloTimeLimit = 2s;
constexpr unsigned char Accepted = HelloAccepted;

} // namespace

IncomingPeer::IncomingPeer(asio::ip::tcp::socket Socket,
                           const PeerTransportOptions &Options,
                           PeerCounters &Counters, Callbacks Deliver)
    : Socket_(std::move(Socket)), HelloTimer_(Socket_.get_executor()),
      Options_(Options), Counters_(Counters), Deliver_(std::move(Deliver)) {}

void IncomingPeer::start() {
  configurePeerSocket(Socket_);
  HelloTimer_.expires_after(HelloTimeLimit);
  HelloTimer_.async_wait([Self = shared_from_this()](asio::error_code Code) {
    if (!Code && Self->Sender_.isEmpty())
      Self->close();
  });
  readHeader();
}

void IncomingPeer::readHeader() {
  asio::async_read(
      Socket_, asio::buffer(Header_),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        if (Code) {
          Self->close();
          return;
        }
        Self->Start_ = decodeFrameHeader(Self->Header_);
        Self->readPayload();
      });
}

void IncomingPeer::readPayload() {
  const bool IsFirst = Sender_.isEmpty();
  const std::uint64_t Limit =
      IsFirst ? HelloLimit : Options_.MaxPayloadSize_.value();
  const bool IsKnown =
      IsFirst ? Start_.Kind_ == HelloKind : isMessageKind(Start_.Kind_);
  if (Start_.Length_ > Limit || !IsKnown) {
    PeerCounters::raise(Counters_.Malformed_);
    close();
    return;
  }
  Payload_.resize(Start_.Length_);
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
  PeerCounters::raise(Counters_.Received_);
  Deliver_.Received_({static_cast<MessageKind>(Start_.Kind_), Sender_,
                      std::exchange(Payload_, {})});
  readHeader();
}

void IncomingPeer::onHello() {
  auto Hello = decodeHello(Payload_);
  if (!Hello) {
    PeerCounters::raise(Counters_.Malformed_);
    close();
    return;
  }
  if (!Options_.Token_.isEqualTo(Hello.value().Token_)) {
    PeerCounters::raise(Counters_.Unauthorized_);
    close();
    return;
  }
  HelloTimer_.cancel();
  Sender_ = Hello.value().Member_;
  Deliver_.Introduced_(Hello.value());
  asio::async_write(
      Socket_, asio::buffer(&Accepted, 1),
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
  Deliver_.Closed_(*this);
}

} // namespace jaybridge
