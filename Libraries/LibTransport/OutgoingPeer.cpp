#include <LibTransport/OutgoingPeer.h>

#include <LibTransport/PeerFrame.h>
#include <LibTransport/SocketOptions.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Bound of one write, so that one peer's queue does not hold the thread.
constexpr std::size_t FramesPerWrite = 64;
/// Time for connecting and for the handshake.
constexpr Duration OpenLimit = 1s;

asio::ip::tcp::endpoint asioEndpoint(const Endpoint &Address) {
  return {asio::ip::make_address_v4(Address.address()), Address.port().value()};
}

} // namespace

OutgoingPeer::OutgoingPeer(asio::io_context &Context, Endpoint Address,
                           const PeerTransportOptions &Options,
                           std::string Hello, PeerCounters &Counters,
                           std::function<void(const Endpoint &)> OnLost)
    : Context_(Context), Address_(std::move(Address)), Options_(Options),
      Hello_(std::move(Hello)), Counters_(Counters), OnLost_(std::move(OnLost)),
      Socket_(Context), Timer_(Context), Backoff_(Options.MinBackoff_) {}

SendResult OutgoingPeer::push(std::string Frame) {
  std::lock_guard Lock(Mutex_);
  UsedAt_ = std::chrono::steady_clock::now();
  dropExpired(UsedAt_);
  if (Queue_.size() >= Options_.MaxQueuedMessages_.value() ||
      QueuedBytes_ + Frame.size() > Options_.MaxQueuedBytes_.value()) {
    PeerCounters::raise(Counters_.QueueFull_);
    return SendResult::QueueFull;
  }
  QueuedBytes_ += Frame.size();
  Queue_.push_back({std::move(Frame), UsedAt_});
  if (!IsPosted_) {
    IsPosted_ = true;
    asio::post(Context_, [Self = shared_from_this()] { Self->advance(); });
  }
  return SendResult::Queued;
}

bool OutgoingPeer::isIdleFor(Duration Limit) const {
  std::lock_guard Lock(Mutex_);
  return Queue_.empty() && !IsPosted_ &&
         std::chrono::steady_clock::now() - UsedAt_ > Limit;
}

bool OutgoingPeer::hasQueued() const {
  std::lock_guard Lock(Mutex_);
  return !Queue_.empty();
}

void OutgoingPeer::dropExpired(SteadyTime Now) {
  while (!Queue_.empty() &&
         Now - Queue_.front().At_ > Options_.MessageLifetime_) {
    QueuedBytes_ -= Queue_.front().Frame_.size();
    Queue_.pop_front();
    PeerCounters::raise(Counters_.Expired_);
  }
}

std::vector<std::string> OutgoingPeer::takeQueued() {
  std::lock_guard Lock(Mutex_);
  dropExpired(std::chrono::steady_clock::now());
  std::vector<std::string> Taken;
  while (!Queue_.empty() && Taken.size() < FramesPerWrite) {
    QueuedBytes_ -= Queue_.front().Frame_.size();
    Taken.push_back(std::move(Queue_.front().Frame_));
    Queue_.pop_front();
  }
  return Taken;
}

void OutgoingPeer::advance() {
  {
    std::lock_guard Lock(Mutex_);
    IsPosted_ = false;
  }
  if (State_ == State::Closed)
    open();
  else if (State_ == State::Open)
    writeQueued();
}

void OutgoingPeer::open() {
  State_ = State::Opening;
  const std::uint64_t Opened = ++Generation_;
  Socket_ = asio::ip::tcp::socket(Context_);
  Timer_.expires_after(OpenLimit);
  Timer_.async_wait([Self = shared_from_this(), Opened](asio::error_code Code) {
    if (!Code && Self->Generation_ == Opened && Self->State_ == State::Opening)
      Self->fail(false);
  });
  Socket_.async_connect(
      asioEndpoint(Address_),
      [Self = shared_from_this(), Opened](asio::error_code Code) {
        if (Self->Generation_ != Opened)
          return;
        if (Code)
          Self->fail(false);
        else
          Self->sendHello();
      });
}

void OutgoingPeer::sendHello() {
  configurePeerSocket(Socket_);
  const std::uint64_t Opened = Generation_;
  asio::async_write(
      Socket_, asio::buffer(Hello_),
      [Self = shared_from_this(), Opened](asio::error_code Code, std::size_t) {
        if (Self->Generation_ == Opened && Code)
          Self->fail(false);
      });
  asio::async_read(
      Socket_, asio::buffer(&Accepted_, 1),
      [Self = shared_from_this(), Opened](asio::error_code Code, std::size_t) {
        if (Self->Generation_ != Opened)
          return;
        if (Code || Self->Accepted_ != HelloAccepted) {
          Self->fail(false);
          return;
        }
        Self->State_ = State::Open;
        Self->Timer_.cancel();
        Self->Backoff_ = Self->Options_.MinBackoff_;
        PeerCounters::raise(Self->Counters_.Connections_);
        Self->watch();
        Self->writeQueued();
      });
}

// The peer sends nothing more on this connection, so a read ends when it does.
void OutgoingPeer::watch() {
  const std::uint64_t Opened = Generation_;
  asio::async_read(
      Socket_, asio::buffer(&Accepted_, 1),
      [Self = shared_from_this(), Opened](asio::error_code, std::size_t) {
        if (Self->Generation_ == Opened)
          Self->fail(true);
      });
}

void OutgoingPeer::writeQueued() {
  if (IsWriting_)
    return;
  Frames_ = takeQueued();
  if (Frames_.empty())
    return;
  IsWriting_ = true;
  std::vector<asio::const_buffer> Buffers;
  Buffers.reserve(Frames_.size());
  for (const std::string &Each : Frames_)
    Buffers.push_back(asio::buffer(Each));
  const std::uint64_t Opened = Generation_;
  asio::async_write(
      Socket_, Buffers,
      [Self = shared_from_this(), Opened](asio::error_code Code, std::size_t) {
        if (Self->Generation_ != Opened)
          return;
        Self->IsWriting_ = false;
        if (Code) {
          Self->fail(true);
          return;
        }
        PeerCounters::raise(Self->Counters_.Sent_, Self->Frames_.size());
        Self->writeQueued();
      });
}

void OutgoingPeer::fail(bool WasOpen) {
  close();
  if (!WasOpen)
    PeerCounters::raise(Counters_.ConnectFailures_);
  if (OnLost_)
    OnLost_(Address_);
  backOff();
}

void OutgoingPeer::backOff() {
  State_ = State::BackingOff;
  Timer_.expires_after(Backoff_);
  Backoff_ = std::min(Backoff_ * 2, Options_.MaxBackoff_);
  Timer_.async_wait(
      [Self = shared_from_this(), Ended = Generation_](asio::error_code Code) {
        if (Code || Self->Generation_ != Ended)
          return;
        Self->State_ = State::Closed;
        if (Self->hasQueued())
          Self->open();
      });
}

void OutgoingPeer::close() {
  ++Generation_;
  State_ = State::Closed;
  // Frames under way may have arrived: they are lost rather than sent twice.
  IsWriting_ = false;
  Timer_.cancel();
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace jaybridge
