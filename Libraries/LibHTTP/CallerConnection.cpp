#include <LibHTTP/CallerConnection.h>

#include <LibHTTP/CallerServer.h>
#include <LibHTTP/RequestParser.h>
#include <LibRuntime/SystemClock.h>

#include <asio/buffer.hpp>

namespace jaybridge {

namespace {

/// Bytes that are discarded after a connection stops reading requests, so that
/// the response reaches a caller that is still sending.
constexpr std::size_t MaxDiscarded = 1024UL * 1024;
/// Time in which a caller must accept some bytes of its response.
constexpr Duration WriteTimeout = 60s;
constexpr Duration BudgetRetryAfter = 1s;

Refusal notRun(RefusalReason Reason, std::string Detail,
               std::optional<Duration> RetryAfter = std::nullopt) {
  return Refusal{Outcome::NotRun, Reason, RetryAfter, std::move(Detail)};
}

} // namespace

CallerConnection::CallerConnection(ConnectionId Id,
                                   asio::ip::tcp::socket Socket,
                                   CallerServer &Server)
    : Id_(Id), Socket_(std::move(Socket)), Server_(Server),
      Reader_(Server.options().BodyLimit_),
      Timeouts_(monotonicNow(), Server.options().AnswerTimeout_) {}

void CallerConnection::start() {
  asio::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket_.non_blocking(true, Ignored);
  advance();
}

void CallerConnection::waitUntilReadable() {
  const bool CanDiscard = StopsReading_ && Discarded_ < MaxDiscarded;
  if (IsReadPending_ || HasEnded_ || IsClosed_ ||
      (!CanDiscard && !(canRead() && Unread_.empty())))
    return;
  IsReadPending_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [Self = shared_from_this()](const asio::error_code &) {
                       Self->IsReadPending_ = false;
                       if (!Self->IsClosed_)
                         Self->onReadable();
                     });
}

void CallerConnection::onReadable() {
  auto &Buffer = Server_.readBuffer();
  asio::error_code Failure;
  const std::size_t Length = Socket_.read_some(asio::buffer(Buffer), Failure);
  if (Failure == asio::error::would_block)
    return waitUntilReadable();
  if (Failure == asio::error::eof && Requests_.empty() && !Writer_.isEmpty()) {
    HasEnded_ = true;
    StopsReading_ = ClosesAfterWriting_ = true;
    return;
  }
  if (Failure)
    return close();
  if (StopsReading_) {
    Discarded_ += Length;
    return waitUntilReadable();
  }
  Input_ = std::string_view(Buffer.data(), Length);
  advance();
}

void CallerConnection::waitUntilWritable() {
  if (IsWritePending_ || IsClosed_)
    return;
  IsWritePending_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [Self = shared_from_this()](const asio::error_code &) {
                       Self->IsWritePending_ = false;
                       if (!Self->IsClosed_)
                         Self->advance();
                     });
}

void CallerConnection::advance() {
  if (IsAdvancing_ || IsClosed_)
    return;
  // Keeps the connection until the end of this function if it is closed.
  const auto Self = shared_from_this();
  IsAdvancing_ = true;
  const TimePoint Now = monotonicNow();
  do {
    std::string Resumed;
    if (Input_.empty()) {
      Resumed = std::exchange(Unread_, {});
      Input_ = Resumed;
    }
    do {
      passOnRequests();
      writeAnswers();
    } while (!IsClosed_ && readStep(Now));
    if (!StopsReading_ && !Input_.empty())
      Unread_ = std::string(Input_);
    Input_ = {};
    if (!IsClosed_)
      flush(Now);
    // Writing may have made room for more requests.
  } while (!IsClosed_ && !Unread_.empty() && canRead());
  if (!IsClosed_) {
    updateBudgets(Now);
    updatePhase(Now);
    waitUntilReadable();
  }
  IsAdvancing_ = false;
}

/// Parses up to the next event. False when there is nothing more to do.
bool CallerConnection::readStep(TimePoint Now) {
  if (Input_.empty() || !canRead())
    return Order_.nextToPassOn() || Order_.isFirstAnswered();
  const auto [Event, Consumed] = Reader_.read(Input_);
  Input_.remove_prefix(Consumed);
  switch (Event) {
  case RequestReader::Event::NeedsBytes:
    break;
  case RequestReader::Event::HeadComplete:
    onHead(Now);
    break;
  case RequestReader::Event::RequestComplete:
    onRequest(Now);
    break;
  case RequestReader::Event::Malformed:
    if (Reader_.isBodyTooLong()) {
      Server_.count(CallerEvent::BodyTooLarge);
      refuseAndClose(notRun(
          RefusalReason::BodyTooLarge,
          "the body is longer than " +
              std::to_string(Server_.options().BodyLimit_.value()) + " bytes"));
    } else {
      Server_.count(CallerEvent::Malformed);
      refuseAndClose(notRun(RefusalReason::BadRequest, Reader_.problem()));
    }
    break;
  }
  return true;
}

void CallerConnection::onHead(TimePoint Now) {
  Timeouts_.restart(ConnectionPhase::Body, Now);
  LastBodySize_ = ByteCount();
  const ByteCount Announced = Reader_.announcedLength().value_or(ByteCount());
  if (Reader_.isUpgrade()) {
    Server_.count(CallerEvent::Malformed);
    refuseAndClose(notRun(RefusalReason::BadRequest,
                          "protocol upgrades are not supported"));
  } else if (Announced > Server_.options().BodyLimit_) {
    Server_.count(CallerEvent::BodyTooLarge);
    refuseAndClose(notRun(
        RefusalReason::BodyTooLarge,
        "the body is longer than " +
            std::to_string(Server_.options().BodyLimit_.value()) + " bytes"));
  } else if (!Server_.receiveBudget().admits(Reader_.heldBytes() + Announced)) {
    Server_.count(CallerEvent::BudgetRefused);
    refuseAndClose(notRun(RefusalReason::Overloaded,
                          "the memory for requests is exhausted",
                          BudgetRetryAfter));
  } else {
    NeedsContinue_ = Reader_.expectsContinue();
  }
}

void CallerConnection::onRequest(TimePoint Now) {
  NeedsContinue_ = false;
  Timeouts_.restart(ConnectionPhase::Answering, Now);
  Server_.count(CallerEvent::Received);
  OpenRequest Opened;
  Opened.Id_ = Server_.nextRequestId();
  Opened.Token_ = AnswerToken(Server_.unwritten());
  Opened.Held_ = Reader_.heldBytes();
  Opened.IsToHead_ = Reader_.isHeadMethod();
  Opened.KeepsAlive_ = Reader_.keepsAlive();
  Order_.add(Reader_.isSafeMethod());
  if (!Opened.KeepsAlive_)
    StopsReading_ = true;
  std::string Target;
  RawHTTPRequest Raw = Reader_.take(Target);
  auto Parsed =
      parseRequest(Opened.Id_, std::move(Raw), Server_.options().BodyLimit_,
                   Server_.options().Dialect_, Now);
  if (Refusal *Refused = std::get_if<Refusal>(&Parsed)) {
    Server_.count(CallerEvent::Refused);
    Opened.Answer_ = std::move(*Refused);
    Opened.Version_ = Server_.lastVersion();
    Order_.answer(Order_.size() - 1);
  } else {
    Opened.CallerId_ = std::get<Request>(Parsed).CallerId_;
    Opened.Request_ =
        std::make_shared<const Request>(std::move(std::get<Request>(Parsed)));
  }
  Requests_.push_back(std::move(Opened));
}

void CallerConnection::passOnRequests() {
  while (auto Position = Order_.nextToPassOn())
    passOn(*Position);
}

void CallerConnection::passOn(std::size_t Position) {
  OpenRequest &Next = Requests_[Position];
  Order_.passOn(Position);
  Next.IsPassedOn_ = true;
  // Registered before the callback, since the answer may arrive before the
  // callback returns.
  Server_.addRequest(Next.Id_, Id_);
  std::shared_ptr<const Request> Passed = std::exchange(Next.Request_, nullptr);
  if (Position > 0) {
    // Kept, since the receiver may answer that the request awaits its turn.
    Next.Request_ = Passed;
    auto Marked = std::make_shared<Request>(*Passed);
    Marked->IsPipelined_ = true;
    Passed = std::move(Marked);
  }
  if (Server_.callbacks().Received_(std::move(Passed)))
    return;
  Server_.removeRequest(Next.Id_);
  Server_.count(CallerEvent::Refused);
  Next.IsPassedOn_ = false;
  Next.Answer_ = notRun(RefusalReason::Overloaded,
                        "the queue of received requests is full", 1s);
  Next.Version_ = Server_.lastVersion();
  Order_.answer(Position);
}

void CallerConnection::answer(const RequestId &Id, Answer Content,
                              ConfigurationVersion Version) {
  for (std::size_t Position = 0; Position < Requests_.size(); ++Position) {
    OpenRequest &Answered = Requests_[Position];
    if (Answered.Id_ != Id)
      continue;
    const Refusal *Refused = std::get_if<Refusal>(&Content);
    if (Refused && Refused->Reason_ == RefusalReason::AwaitsTurn) {
      Order_.awaitTurn(Position);
      Answered.IsPassedOn_ = false;
      return advance();
    }
    Answered.Answer_ = std::move(Content);
    Answered.Version_ = Version;
    Order_.answer(Position);
    return advance();
  }
}

void CallerConnection::writeAnswers() {
  while (!ClosesAfterWriting_ && Order_.isFirstAnswered())
    writeFirst();
}

void CallerConnection::writeFirst() {
  OpenRequest First = std::move(Requests_.front());
  const bool Closes = !First.KeepsAlive_ ||
                      (Server_.isDraining() && Order_.canCloseAfterFirst());
  Requests_.pop_front();
  Order_.removeFirst();
  if (Closes) {
    dropWaitingRequests();
    StopsReading_ = ClosesAfterWriting_ = true;
  }
  const HeaderDialect &Dialect = Server_.options().Dialect_;
  const ResponseContext Context{First.Id_, First.CallerId_, First.Version_,
                                First.IsToHead_, Closes};
  const Refusal *Refused = std::get_if<Refusal>(&*First.Answer_);
  const Response Content =
      Refused ? problemResponse(*Refused, First.CallerId_, Dialect)
              : std::move(std::get<Response>(*First.Answer_));
  if (Writer_.isEmpty())
    LastWriteProgress_ = monotonicNow();
  Writer_.add(responseHead(Content, Context, Dialect),
              First.IsToHead_ ? nullptr : Content.Body_,
              std::move(First.Token_));
}

void CallerConnection::flush(TimePoint Now) {
  if (NeedsContinue_ && Requests_.empty() && Reader_.isInBody() &&
      Reader_.bodySize() == ByteCount()) {
    NeedsContinue_ = false;
    Writer_.add("HTTP/1.1 100 Continue\r\n\r\n", nullptr, AnswerToken());
  }
  if (Writer_.isEmpty() || IsWritePending_)
    return;
  const ByteCount Before = Writer_.unwrittenBytes();
  const ResponseWriter::State State = Writer_.write(Socket_);
  if (Writer_.unwrittenBytes() < Before) {
    LastWriteProgress_ = Now;
    Server_.sendBudget().recordProgress(Id_, Now);
  }
  if (State == ResponseWriter::State::Failed)
    return close();
  if (State == ResponseWriter::State::WouldBlock)
    return waitUntilWritable();
  if (ClosesAfterWriting_)
    finishWriting();
}

void CallerConnection::finishWriting() {
  if (HasEnded_)
    return close();
  // The caller closes the connection after it has read the response. A
  // connection closed here while bytes of the caller arrive would be reset,
  // and the response lost.
  asio::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Timeouts_.enter(ConnectionPhase::Closing, monotonicNow());
}

void CallerConnection::refuseAndClose(Refusal Refused) {
  Server_.count(CallerEvent::Received);
  Server_.count(CallerEvent::Refused);
  StopsReading_ = true;
  NeedsContinue_ = false;
  OpenRequest Opened;
  Opened.Id_ = Server_.nextRequestId();
  Opened.Token_ = AnswerToken(Server_.unwritten());
  Opened.IsToHead_ = Reader_.isInBody() && Reader_.isHeadMethod();
  Opened.Answer_ = std::move(Refused);
  Opened.Version_ = Server_.lastVersion();
  Reader_.discard();
  Order_.add(false);
  Order_.answer(Order_.size() - 1);
  Requests_.push_back(std::move(Opened));
}

void CallerConnection::cutOff() {
  if (StopsReading_ || IsClosed_)
    return;
  std::string().swap(Unread_);
  refuseAndClose(notRun(RefusalReason::Overloaded,
                        "the memory for requests is exhausted",
                        BudgetRetryAfter));
  advance();
}

void CallerConnection::checkDeadline(TimePoint Now) {
  if (IsClosed_)
    return;
  if (!Writer_.isEmpty() && Now >= LastWriteProgress_ + WriteTimeout) {
    Server_.count(CallerEvent::WriteStalled);
    return close();
  }
  const ConnectionPhase Expired = Timeouts_.phase();
  if (!Timeouts_.hasExpired(Now)) {
    Server_.schedule(Id_, deadline());
    return;
  }
  if (Expired == ConnectionPhase::Head || Expired == ConnectionPhase::Body) {
    Server_.count(Expired == ConnectionPhase::Head ? CallerEvent::HeadTimeout
                                                   : CallerEvent::BodyTimeout);
    refuseAndClose(notRun(RefusalReason::ReceiveTimeout,
                          "the request did not arrive in time"));
    return advance();
  }
  close();
}

std::optional<TimePoint> CallerConnection::deadline() const {
  std::optional<TimePoint> Due = Timeouts_.deadline();
  if (!Writer_.isEmpty()) {
    const TimePoint WriteDue = LastWriteProgress_ + WriteTimeout;
    Due = Due ? std::min(*Due, WriteDue) : WriteDue;
  }
  return Due;
}

void CallerConnection::dropWaitingRequests() {
  for (const OpenRequest &Open : Requests_)
    if (Open.IsPassedOn_)
      Server_.removeRequest(Open.Id_);
  Requests_.clear();
  Order_ = PipelineOrder();
  Reader_.discard();
  std::string().swap(Unread_);
}

void CallerConnection::close() {
  if (std::exchange(IsClosed_, true))
    return;
  const auto Self = shared_from_this();
  asio::error_code Ignored;
  Socket_.close(Ignored);
  std::vector<RequestId> Disconnected;
  for (const OpenRequest &Open : Requests_)
    if (Open.IsPassedOn_ && !Open.Answer_)
      Disconnected.push_back(Open.Id_);
  dropWaitingRequests();
  Writer_ = ResponseWriter();
  Server_.remove(Id_);
  for (RequestId &Id : Disconnected) {
    Server_.count(CallerEvent::Disconnected);
    Server_.callbacks().Disconnected_(std::move(Id));
  }
}

HeldBytes CallerConnection::heldBytes() const {
  HeldBytes Held;
  for (const OpenRequest &Open : Requests_)
    Held.Complete_ += Open.Held_;
  Held.Incomplete_ = Reader_.heldBytes() + ByteCount(Unread_.size());
  return Held;
}

ByteCount CallerConnection::readAhead() const {
  ByteCount Bytes = Reader_.heldBytes();
  for (std::size_t Index = 1; Index < Requests_.size(); ++Index)
    Bytes += Requests_[Index].Held_;
  return Bytes;
}

void CallerConnection::updateBudgets(TimePoint Now) {
  const HeldBytes Held = heldBytes();
  const bool HasGrown = Held.Complete_ + Held.Incomplete_ >
                        LastHeld_.Complete_ + LastHeld_.Incomplete_;
  LastHeld_ = Held;
  ReceiveBudget &Received = Server_.receiveBudget();
  if (Held.Complete_ == ByteCount() && Held.Incomplete_ == ByteCount())
    Received.release(Id_);
  else
    Received.hold(Id_, Held, Now);
  ReceiveBudget &Sending = Server_.sendBudget();
  ByteCount Unwritten = Writer_.unwrittenBytes();
  for (const OpenRequest &Open : Requests_)
    if (const auto *Ready =
            Open.Answer_ ? std::get_if<Response>(&*Open.Answer_) : nullptr;
        Ready != nullptr && Ready->Body_)
      Unwritten += ByteCount(Ready->Body_->size());
  if (Unwritten == ByteCount())
    Sending.release(Id_);
  else
    Sending.hold(Id_, {ByteCount(), Unwritten}, Now);
  Server_.reportBudgetState();
  // Connections are cut off after this function, so that this connection is
  // not changed while it advances.
  if (HasGrown && Received.isExceededBy(Id_))
    Server_.enforceReceiveBudget(Id_, Now);
  if (Unwritten > ByteCount() && Sending.isExceededBy(Id_))
    Server_.enforceSendBudget(Id_, Now);
}

void CallerConnection::updatePhase(TimePoint Now) {
  if (const ByteCount Size = Reader_.bodySize(); Size > LastBodySize_) {
    Timeouts_.receiveBody(Size - LastBodySize_);
    LastBodySize_ = Size;
  }
  if (Timeouts_.phase() != ConnectionPhase::Closing) {
    if (StopsReading_ || !canRead() || !Unread_.empty())
      Timeouts_.enter(ConnectionPhase::Answering, Now);
    else if (Reader_.isInBody())
      Timeouts_.enter(ConnectionPhase::Body, Now);
    else if (Reader_.hasStarted())
      Timeouts_.enter(ConnectionPhase::Head, Now);
    else
      Timeouts_.enter(Requests_.empty() && Writer_.isEmpty()
                          ? ConnectionPhase::Idle
                          : ConnectionPhase::Answering,
                      Now);
  }
  Server_.setIdle(Id_, Timeouts_.phase() == ConnectionPhase::Idle);
  Server_.schedule(Id_, deadline());
}

} // namespace jaybridge
