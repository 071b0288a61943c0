#include <LibHTTP/CallerServer.h>

#include <LibRuntime/SystemClock.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

namespace jaybridge {

namespace {

/// Delay before accepting is tried again when descriptors are used up and no
/// connection is idle.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(200);

} // namespace

CallerServer::CallerServer(CallerListenerOptions Options,
                           CallerListenerCallbacks Callbacks)
    : Options_(std::move(Options)), Callbacks_(std::move(Callbacks)),
      IdGenerator_(Options_.Member_, Options_.StartedAt_),
      ReceiveBudget_(ReceiveBudget::forReceiving(Options_.ReceiveLimit_)),
      SendBudget_(ReceiveBudget::forSending(Options_.ReceiveLimit_)) {}

Status CallerServer::start() {
  try {
    const asio::ip::tcp::endpoint Local(
        asio::ip::make_address(Options_.Address_.address()),
        Options_.Address_.port().value());
    Acceptor_.open(Local.protocol());
    Acceptor_.set_option(asio::socket_base::reuse_address(true));
    Acceptor_.bind(Local);
    Acceptor_.listen();
    JAYBRIDGE_TRY(Address_,
                  Endpoint::create(Options_.Address_.address(),
                                   Port(Acceptor_.local_endpoint().port())));
  } catch (const std::exception &Failure) {
    return Error{ErrorCode::Unavailable,
                 "cannot listen on " + Options_.Address_.text() + ": " +
                     Failure.what(),
                 {}};
  }
  accept();
  Thread_ = std::thread([this] {
    const auto KeepsRunning = asio::make_work_guard(Context_);
    Context_.run();
  });
  return success();
}

void CallerServer::stop() {
  if (!Thread_.joinable())
    return;
  Context_.stop();
  Thread_.join();
  Requests_.clear();
  Connections_.clear();
  asio::error_code Ignored;
  Acceptor_.close(Ignored);
}

void CallerServer::answer(const RequestId &Id, Answer Content,
                          ConfigurationVersion Version) {
  asio::post(
      Context_, [this, Id, Content = std::move(Content), Version]() mutable {
        auto Found = Requests_.find(Id);
        if (Found == Requests_.end()) {
          count(CallerEvent::UndeliveredAnswer);
          return;
        }
        const ConnectionId Connection = Found->second;
        Requests_.erase(Found);
        LastVersion_ = std::max(LastVersion_, Version);
        if (auto Open = Connections_.find(Connection.value());
            Open != Connections_.end())
          Open->second.Connection_->answer(Id, std::move(Content), Version);
      });
}

void CallerServer::closeAfterAnswers() {
  asio::post(Context_, [this] { IsDraining_ = true; });
}

void CallerServer::stopAccepting() {
  asio::post(Context_, [this] {
    IsDraining_ = true;
    asio::error_code Ignored;
    Acceptor_.close(Ignored);
    AcceptTimer_.cancel();
  });
}

CallerListenerCounts CallerServer::counts() const {
  CallerListenerCounts Copied;
  for (std::size_t Index = 0; Index < CallerEventCount; ++Index)
    Copied.Events_[Index] = EventCount(Counts_[Index]);
  auto Count = [&](CallerEvent Event) {
    return Copied.Events_[static_cast<std::size_t>(Event)];
  };
  Copied.Received_ = Count(CallerEvent::Received);
  Copied.Refused_ = Count(CallerEvent::Refused);
  Copied.Disconnected_ = Count(CallerEvent::Disconnected);
  Copied.UndeliveredAnswers_ = Count(CallerEvent::UndeliveredAnswer);
  return Copied;
}

void CallerServer::accept() {
  if (IsAccepting_ || !Acceptor_.is_open())
    return;
  // Resumed when a connection ends or becomes idle.
  if (isFull() && IdleConnections_.empty())
    return;
  IsAccepting_ = true;
  Acceptor_.async_accept(
      [this](const asio::error_code &Failure, asio::ip::tcp::socket Socket) {
        IsAccepting_ = false;
        onAccepted(Failure, std::move(Socket));
      });
}

void CallerServer::onAccepted(const asio::error_code &Failure,
                              asio::ip::tcp::socket Socket) {
  if (!Acceptor_.is_open())
    return;
  if (!Failure) {
    if (isFull())
      closeOldestIdle();
    const ConnectionId Id(++LastConnection_);
    auto Accepted =
        std::make_shared<CallerConnection>(Id, std::move(Socket), *this);
    Connections_[Id.value()].Connection_ = Accepted;
    Accepted->start();
    return accept();
  }
  if (Failure == asio::error::connection_aborted)
    return accept();
  count(CallerEvent::AcceptFailed);
  if (closeOldestIdle())
    return accept();
  AcceptTimer_.expires_after(AcceptRetryDelay);
  AcceptTimer_.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      accept();
  });
}

bool CallerServer::closeOldestIdle() {
  if (IdleConnections_.empty())
    return false;
  count(CallerEvent::IdleClosed);
  const auto Oldest =
      Connections_.at(IdleConnections_.front().value()).Connection_;
  // Keeps remove() from accepting, which the caller of this function does.
  const bool WasAccepting = std::exchange(IsAccepting_, true);
  Oldest->close();
  IsAccepting_ = WasAccepting;
  return true;
}

void CallerServer::enforceReceiveBudget(ConnectionId Growing, TimePoint Now) {
  asio::post(Context_, [this, Growing, Now] {
    while (auto Victim = ReceiveBudget_.nextCutOff(Growing, Now)) {
      ReceiveBudget_.release(*Victim);
      count(CallerEvent::BudgetCutOff);
      if (auto Found = Connections_.find(Victim->value());
          Found != Connections_.end())
        std::shared_ptr(Found->second.Connection_)->cutOff();
    }
  });
}

void CallerServer::enforceSendBudget(ConnectionId Growing, TimePoint Now) {
  asio::post(Context_, [this, Growing, Now] {
    while (auto Victim = SendBudget_.nextCutOff(Growing, Now)) {
      SendBudget_.release(*Victim);
      count(CallerEvent::WriteStalled);
      if (auto Found = Connections_.find(Victim->value());
          Found != Connections_.end())
        std::shared_ptr(Found->second.Connection_)->close();
    }
  });
}

void CallerServer::reportBudgetState() {
  const bool IsShort = ReceiveBudget_.isShort();
  if (std::exchange(WasBudgetShort_, IsShort) != IsShort &&
      Callbacks_.BudgetChanged_)
    Callbacks_.BudgetChanged_(IsShort);
}

void CallerServer::setIdle(ConnectionId Id, bool IsIdle) {
  auto Found = Connections_.find(Id.value());
  if (Found == Connections_.end() || Found->second.Idle_.has_value() == IsIdle)
    return;
  if (IsIdle) {
    Found->second.Idle_ = IdleConnections_.insert(IdleConnections_.end(), Id);
    // A connection that waits to be accepted may take the place of this one.
    if (isFull())
      asio::post(Context_, [this] { accept(); });
  } else {
    IdleConnections_.erase(*Found->second.Idle_);
    Found->second.Idle_.reset();
  }
}

void CallerServer::schedule(ConnectionId Id,
                            std::optional<TimePoint> Deadline) {
  auto Found = Connections_.find(Id.value());
  if (!Deadline || Found == Connections_.end())
    return;
  // A connection whose deadline moves later keeps its place in the queue, and
  // is queued again when that time is reached.
  Entry &Scheduled = Found->second;
  if (Scheduled.QueuedAt_ && *Scheduled.QueuedAt_ <= *Deadline)
    return;
  Scheduled.QueuedAt_ = Deadline;
  Deadlines_.emplace(*Deadline, Id);
  armTimer();
}

void CallerServer::armTimer() {
  if (Deadlines_.empty() || (TimerAt_ && *TimerAt_ <= Deadlines_.top().first))
    return;
  TimerAt_ = Deadlines_.top().first;
  DeadlineTimer_.expires_at(toSteadyTimePoint(*TimerAt_));
  DeadlineTimer_.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      onTimer();
  });
}

void CallerServer::onTimer() {
  const TimePoint Now = monotonicNow();
  TimerAt_.reset();
  while (!Deadlines_.empty() && Deadlines_.top().first <= Now) {
    const auto [Due, Id] = Deadlines_.top();
    Deadlines_.pop();
    auto Found = Connections_.find(Id.value());
    if (Found == Connections_.end() || Found->second.QueuedAt_ != Due)
      continue;
    Found->second.QueuedAt_.reset();
    std::shared_ptr(Found->second.Connection_)->checkDeadline(Now);
  }
  armTimer();
}

void CallerServer::remove(ConnectionId Id) {
  auto Found = Connections_.find(Id.value());
  if (Found == Connections_.end())
    return;
  if (Found->second.Idle_)
    IdleConnections_.erase(*Found->second.Idle_);
  Connections_.erase(Found);
  ReceiveBudget_.release(Id);
  SendBudget_.release(Id);
  reportBudgetState();
  accept();
}

} // namespace jaybridge
