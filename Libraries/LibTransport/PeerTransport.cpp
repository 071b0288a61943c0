#include <LibTransport/PeerTransport.h>

#include <LibTransport/IncomingPeer.h>
#include <LibTransport/OutgoingPeer.h>

#include <map>
#include <set>
#include <thread>

namespace jaybridge {

namespace {

/// Accepted connections; a fleet of the projected size gossips with few peers
/// at a time.
constexpr std::size_t IncomingLimit = 4096;
constexpr Duration SweepInterval = 5s;

} // namespace

class PeerTransport::Network {
public:
  Network(PeerTransportOptions Options, Callbacks Deliver)
      : Options_(std::move(Options)), Deliver_(std::move(Deliver)),
        Acceptor_(Context_), Sweep_(Context_) {}
  ~Network() { stop(); }

  Status start() {
    asio::error_code Code;
    const asio::ip::tcp::endpoint Wanted(
        asio::ip::make_address_v4(Options_.Address_.address(), Code),
        Options_.Address_.port().value());
    Acceptor_.open(Wanted.protocol(), Code);
    Acceptor_.set_option(asio::socket_base::reuse_address(true), Code);
    Acceptor_.bind(Wanted, Code);
    if (!Code)
      Acceptor_.listen(asio::socket_base::max_listen_connections, Code);
    if (Code)
      return Error{ErrorCode::Unavailable,
                   "cannot listen on " + Options_.Address_.text() + ": " +
                       Code.message(),
                   {}};
    JAYBRIDGE_TRY(Address_,
                  Endpoint::create(Options_.Address_.address(),
                                   Port(Acceptor_.local_endpoint().port())));
    if (Options_.AdvertisedAddress_ == Endpoint())
      Options_.AdvertisedAddress_ = Address_;
    Hello_ = encodeHello({Options_.Token_.text(), Options_.Member_,
                          Options_.AdvertisedAddress_});
    accept();
    sweep();
    Thread_ = std::thread([this] { Context_.run(); });
    return success();
  }

  void stop() {
    if (!Thread_.joinable())
      return;
    Context_.stop();
    Thread_.join();
    std::lock_guard Lock(Mutex_);
    IsStopped_ = true;
    Outgoing_.clear();
  }

  const Endpoint &address() const { return Address_; }
  PeerTransportCounts counts() const { return Counters_.values(); }

  void setAddress(const MemberId &Member, const Endpoint &Address) {
    std::lock_guard Lock(Mutex_);
    Members_[Member] = Address;
  }

  void forget(const MemberId &Member) {
    std::lock_guard Lock(Mutex_);
    Members_.erase(Member);
  }

  SendResult send(const MemberId &Peer, MessageKind Kind,
                  std::string_view Payload) {
    Endpoint Address;
    {
      std::lock_guard Lock(Mutex_);
      auto Found = Members_.find(Peer);
      if (Found == Members_.end())
        return SendResult::UnknownMember;
      Address = Found->second;
    }
    return send(Address, Kind, Payload);
  }

  SendResult send(const Endpoint &Peer, MessageKind Kind,
                  std::string_view Payload) {
    if (Peer == Endpoint())
      return SendResult::UnknownMember;
    if (Payload.size() > Options_.MaxPayloadSize_.value())
      return SendResult::TooLong;
    std::string Frame = encodeFrame(static_cast<std::uint8_t>(Kind), Payload);
    std::lock_guard Lock(Mutex_);
    if (IsStopped_)
      return SendResult::Stopped;
    std::shared_ptr<OutgoingPeer> &Found = Outgoing_[Peer];
    if (!Found)
      Found = std::make_shared<OutgoingPeer>(Context_, Peer, Options_, Hello_,
                                             Counters_, Deliver_.Lost_);
    return Found->push(std::move(Frame));
  }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](asio::error_code Code, asio::ip::tcp::socket Socket) {
          if (Code == asio::error::operation_aborted)
            return;
          if (!Code && Incoming_.size() < IncomingLimit)
            add(std::move(Socket));
          accept();
        });
  }

  void add(asio::ip::tcp::socket Socket) {
    auto Peer = std::make_shared<IncomingPeer>(
        std::move(Socket), Options_, Counters_,
        IncomingPeer::Callbacks{
            Deliver_.Received_,
            [this](const PeerHello &Hello) {
              setAddress(Hello.Member_, Hello.AdvertisedAddress_);
            },
            [this](IncomingPeer &Closed) { Incoming_.erase(&Closed); }});
    Incoming_.insert(Peer.get());
    Peer->start();
  }

  // Closes idle connections, which also bounds the number of queues.
  void sweep() {
    Sweep_.expires_after(SweepInterval);
    Sweep_.async_wait([this](asio::error_code Code) {
      if (Code)
        return;
      {
        std::lock_guard Lock(Mutex_);
        std::erase_if(Outgoing_, [this](const auto &Each) {
          if (!Each.second->isIdleFor(Options_.IdleTimeout_))
            return false;
          Each.second->close();
          return true;
        });
      }
      sweep();
    });
  }

  PeerTransportOptions Options_;
  Callbacks Deliver_;
  PeerCounters Counters_;
  Endpoint Address_;
  std::string Hello_;

  std::mutex Mutex_;
  std::map<MemberId, Endpoint> Members_;
  bool IsStopped_ = false;

  // Handlers that wait in the context refer to what is above it.
  asio::io_context Context_{1};
  std::map<Endpoint, std::shared_ptr<OutgoingPeer>> Outgoing_;
  // Connections own themselves by their pending reads.
  std::set<IncomingPeer *> Incoming_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer Sweep_;
  std::thread Thread_;
};

PeerTransport::PeerTransport(std::unique_ptr<Network> Running)
    : Network_(std::move(Running)) {}
PeerTransport::~PeerTransport() = default;
PeerTransport::PeerTransport(PeerTransport &&) noexcept = default;
PeerTransport &PeerTransport::operator=(PeerTransport &&) noexcept = default;

Result<PeerTransport> PeerTransport::create(PeerTransportOptions Options,
                                            Callbacks Deliver) {
  auto Running =
      std::make_unique<Network>(std::move(Options), std::move(Deliver));
  JAYBRIDGE_TRY_STATUS(Running->start());
  return PeerTransport(std::move(Running));
}

const Endpoint &PeerTransport::address() const { return Network_->address(); }
PeerTransportCounts PeerTransport::counts() const { return Network_->counts(); }
void PeerTransport::setAddress(const MemberId &Member,
                               const Endpoint &Address) {
  Network_->setAddress(Member, Address);
}
void PeerTransport::forget(const MemberId &Member) { Network_->forget(Member); }
SendResult PeerTransport::send(const Endpoint &Peer, MessageKind Kind,
                               std::string Payload) {
  return Network_->send(Peer, Kind, Payload);
}
SendResult PeerTransport::send(const MemberId &Peer, MessageKind Kind,
                               std::string Payload) {
  return Network_->send(Peer, Kind, Payload);
}
void PeerTransport::stop() { Network_->stop(); }

} // namespace jaybridge
