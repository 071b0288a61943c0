#include <LibTransport/PeerTransport.h>

#include <LibTransport/IncomingPeer.h>
#include <LibTransport/OutgoingPeer.h>

#include <map>
#include <set>
#include <thread>

namespace jaybridge {

namespace {

/// Bounds the accepted connections. A fleet of the projected size stays below
/// it, since each member gossips with few peers at a time.
constexpr std::size_t MaxIncomingConnections = 4096;
constexpr Duration IdleSweepInterval = 5s;

} // namespace

class PeerTransport::Network {
public:
  Network(PeerTransportOptions Options, Callbacks Handlers)
      : Options_(std::move(Options)), Handlers_(std::move(Handlers)),
        Acceptor_(Context_), SweepTimer_(Context_) {}
  ~Network() { stop(); }

  Status start() {
    asio::error_code Code;
    const asio::ip::tcp::endpoint BindAddress(
        asio::ip::make_address_v4(Options_.Address_.address(), Code),
        Options_.Address_.port().value());
    Acceptor_.open(BindAddress.protocol(), Code);
    Acceptor_.set_option(asio::socket_base::reuse_address(true), Code);
    Acceptor_.bind(BindAddress, Code);
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
    scheduleSweep();
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
      return SendResult::PayloadTooLarge;
    std::string Frame = encodeFrame(static_cast<std::uint8_t>(Kind), Payload);
    std::lock_guard Lock(Mutex_);
    if (IsStopped_)
      return SendResult::Stopped;
    std::shared_ptr<OutgoingPeer> &Found = Outgoing_[Peer];
    if (!Found)
      Found =
          std::make_shared<OutgoingPeer>(Context_, Peer, Options_, Hello_,
                                         Counters_, Handlers_.ConnectionLost_);
    return Found->push(std::move(Frame));
  }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](asio::error_code Code, asio::ip::tcp::socket Socket) {
          if (Code == asio::error::operation_aborted)
            return;
          if (!Code && Incoming_.size() < MaxIncomingConnections)
            addIncoming(std::move(Socket));
          accept();
        });
  }

  void addIncoming(asio::ip::tcp::socket Socket) {
    auto Peer = std::make_shared<IncomingPeer>(
        std::move(Socket), Options_, Counters_,
        IncomingPeer::Callbacks{
            Handlers_.Received_,
            [this](const PeerHello &Hello) {
              setAddress(Hello.Member_, Hello.AdvertisedAddress_);
            },
            [this](IncomingPeer &Closed) { Incoming_.erase(&Closed); }});
    Incoming_.insert(Peer.get());
    Peer->start();
  }

  // Closes idle connections periodically, which also bounds the number of
  // queues.
  void scheduleSweep() {
    SweepTimer_.expires_after(IdleSweepInterval);
    SweepTimer_.async_wait([this](asio::error_code Code) {
      if (Code)
        return;
      {
        std::lock_guard Lock(Mutex_);
        std::erase_if(Outgoing_, [this](const auto &Entry) {
          if (!Entry.second->isIdleFor(Options_.IdleTimeout_))
            return false;
          Entry.second->close();
          return true;
        });
      }
      scheduleSweep();
    });
  }

  PeerTransportOptions Options_;
  Callbacks Handlers_;
  PeerCounters Counters_;
  Endpoint Address_;
  std::string Hello_;

  std::mutex Mutex_;
  std::map<MemberId, Endpoint> Members_;
  bool IsStopped_ = false;

  // Pending handlers of the context refer to the members declared above it.
  asio::io_context Context_{1};
  std::map<Endpoint, std::shared_ptr<OutgoingPeer>> Outgoing_;
  // Not owning: the pending reads of a connection keep it alive.
  std::set<IncomingPeer *> Incoming_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer SweepTimer_;
  std::thread Thread_;
};

PeerTransport::PeerTransport(std::unique_ptr<Network> Running)
    : Network_(std::move(Running)) {}
PeerTransport::~PeerTransport() = default;
PeerTransport::PeerTransport(PeerTransport &&) noexcept = default;
PeerTransport &PeerTransport::operator=(PeerTransport &&) noexcept = default;

Result<PeerTransport> PeerTransport::create(PeerTransportOptions Options,
                                            Callbacks Handlers) {
  auto Running =
      std::make_unique<Network>(std::move(Options), std::move(Handlers));
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
