#include <LibTransport/OutgoingPeer.h>

#include <LibTransport/PeerFrame.h>
#include <LibTransport/SocketOptions.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Bounds a single write, so that a long queue does not occupy the thread.
constexpr std::size_t MaxFramesPerWrite = 64;
/// Timeout for connecting and the handshake together.
constexpr Duration OpenTimeout = 1s;

asio::ip::tcp::endpoint asioEndpoint(const Endpoint &Address) {
  return {asio::ip::make_address_v4(Address.address()), Address.port().value()};
}

} // namespace

OutgoingPeer::OutgoingPeer(
    asio::io_context &Context, Endpoint Address,
    const PeerTransportOptions &Options, std::string Hello,
    PeerCounters &Counters,
    std::function<void(const Endpoint &)> OnConnectionLost)
    : Context_(Context), Address_(std::move(Address)), Options_(Options),
      Hello_(std::move(Hello)), Counters_(Counters),
      OnConnectionLost_(std::move(OnConnectionLost)), Socket_(Context),
      Timer_(Context), Backoff_(Options.MinBackoff_) {}

SendResult OutgoingPeer::push(std::string Frame) {
  std::lock_guard Lock(Mutex_);
  LastUsedAt_ = std::chrono::steady_clock::now();
  dropExpiredFrames(LastUsedAt_);
  if (Queue_.size() >= Options_.MaxQueuedMessages_.value() ||
      QueuedBytes_ + Frame.size() > Options_.MaxQueuedBytes_.value()) {
    PeerCounters::increment(Counters_.QueueFull_);
    return SendResult::QueueFull;
  }
  QueuedBytes_ += Frame.size();
  Queue_.push_back({std::move(Frame), LastUsedAt_});
  if (!IsPosted_) {
    IsPosted_ = true;
    asio::post(Context_,
               [Self = shared_from_this()] { Self->connectOrWrite(); });
  }
  return SendResult::Queued;
}

bool OutgoingPeer::isIdleFor(Duration IdleTime) const {
  std::lock_guard Lock(Mutex_);
  return Queue_.empty() && !IsPosted_ &&
         std::chrono::steady_clock::now() - LastUsedAt_ > IdleTime;
}

bool OutgoingPeer::hasQueuedFrames() const {
  std::lock_guard Lock(Mutex_);
  return !Queue_.empty();
}

void OutgoingPeer::dropExpiredFrames(SteadyTime Now) {
  while (!Queue_.empty() &&
         Now - Queue_.front().QueuedAt_ > Options_.MessageLifetime_) {
    QueuedBytes_ -= Queue_.front().Frame_.size();
    Queue_.pop_front();
    PeerCounters::increment(Counters_.Expired_);
  }
}

std::vector<std::string> OutgoingPeer::takeQueuedFrames() {
  std::lock_guard Lock(Mutex_);
  dropExpiredFrames(std::chrono::steady_clock::now());
  std::vector<std::string> Frames;
  while (!Queue_.empty() && Frames.size() < MaxFramesPerWrite) {
    QueuedBytes_ -= Queue_.front().Frame_.size();
    Frames.push_back(std::move(Queue_.front().Frame_));
    Queue_.pop_front();
  }
  return Frames;
}

void OutgoingPeer::connectOrWrite() {
  {
    std::lock_guard Lock(Mutex_);
    IsPosted_ = false;
  }
  if (State_ == State::Closed)
    open();
  else if (State_ == State::Open)
    writeQueuedFrames();
}

void OutgoingPeer::open() {
  State_ = State::Opening;
  const std::uint64_t OpenedGeneration = ++Generation_;
  Socket_ = asio::ip::tcp::socket(Context_);
  Timer_.expires_after(OpenTimeout);
  Timer_.async_wait(
      [Self = shared_from_this(), OpenedGeneration](asio::error_code Code) {
        if (!Code && Self->Generation_ == OpenedGeneration &&
            Self->State_ == State::Opening)
          Self->handleFailure(false);
      });
  Socket_.async_connect(
      asioEndpoint(Address_),
      [Self = shared_from_this(), OpenedGeneration](asio::error_code Code) {
        if (Self->Generation_ != OpenedGeneration)
          return;
        if (Code)
          Self->handleFailure(false);
        else
          Self->sendHello();
      });
}

void OutgoingPeer::sendHello() {
  configurePeerSocket(Socket_);
  const std::uint64_t OpenedGeneration = Generation_;
  asio::async_write(Socket_, asio::buffer(Hello_),
                    [Self = shared_from_this(),
                     OpenedGeneration](asio::error_code Code, std::size_t) {
                      if (Self->Generation_ == OpenedGeneration && Code)
                        Self->handleFailure(false);
                    });
  asio::async_read(Socket_, asio::buffer(&ReplyByte_, 1),
                   [Self = shared_from_this(),
                    OpenedGeneration](asio::error_code Code, std::size_t) {
                     if (Self->Generation_ != OpenedGeneration)
                       return;
                     if (Code || Self->ReplyByte_ != HelloAccepted) {
                       Self->handleFailure(false);
                       return;
                     }
                     Self->State_ = State::Open;
                     Self->Timer_.cancel();
                     Self->Backoff_ = Self->Options_.MinBackoff_;
                     PeerCounters::increment(Self->Counters_.Connections_);
                     Self->watchForClose();
                     Self->writeQueuedFrames();
                   });
}

// The peer sends nothing after its reply to the handshake, so the read
// completes only when the connection ends.
void OutgoingPeer::watchForClose() {
  const std::uint64_t OpenedGeneration = Generation_;
  asio::async_read(Socket_, asio::buffer(&ReplyByte_, 1),
                   [Self = shared_from_this(),
                    OpenedGeneration](asio::error_code, std::size_t) {
                     if (Self->Generation_ == OpenedGeneration)
                       Self->handleFailure(true);
                   });
}

void OutgoingPeer::writeQueuedFrames() {
  if (IsWriting_)
    return;
  FramesInFlight_ = takeQueuedFrames();
  if (FramesInFlight_.empty())
    return;
  IsWriting_ = true;
  std::vector<asio::const_buffer> Buffers;
  Buffers.reserve(FramesInFlight_.size());
  for (const std::string &Frame : FramesInFlight_)
    Buffers.push_back(asio::buffer(Frame));
  const std::uint64_t OpenedGeneration = Generation_;
  asio::async_write(Socket_, Buffers,
                    [Self = shared_from_this(),
                     OpenedGeneration](asio::error_code Code, std::size_t) {
                      if (Self->Generation_ != OpenedGeneration)
                        return;
                      Self->IsWriting_ = false;
                      if (Code) {
                        Self->handleFailure(true);
                        return;
                      }
                      PeerCounters::increment(Self->Counters_.Sent_,
                                              Self->FramesInFlight_.size());
                      Self->writeQueuedFrames();
                    });
}

void OutgoingPeer::handleFailure(bool WasEstablished) {
  close();
  if (!WasEstablished)
    PeerCounters::increment(Counters_.ConnectFailures_);
  if (OnConnectionLost_)
    OnConnectionLost_(Address_);
  backOff();
}

void OutgoingPeer::backOff() {
  State_ = State::BackingOff;
  Timer_.expires_after(Backoff_);
  Backoff_ = std::min(Backoff_ * 2, Options_.MaxBackoff_);
  Timer_.async_wait([Self = shared_from_this(),
                     ClosedGeneration = Generation_](asio::error_code Code) {
    if (Code || Self->Generation_ != ClosedGeneration)
      return;
    Self->State_ = State::Closed;
    if (Self->hasQueuedFrames())
      Self->open();
  });
}

void OutgoingPeer::close() {
  ++Generation_;
  State_ = State::Closed;
  // Frames being written may have arrived; they are dropped rather than sent
  // twice.
  IsWriting_ = false;
  Timer_.cancel();
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace jaybridge
