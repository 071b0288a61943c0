#include <Fakes/FakeUpstream.h>

#include <LibHTTP/HeaderRules.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jaybridge {

namespace {

/// Ends the process as a crash would: nothing is announced or answered.
constexpr int CrashCode = 70;

std::string valueOf(const FakeMessage &Message, const char *Name) {
  const Header *Found = findHeader(Message.Headers_, Name);
  return Found ? Found->Value_ : std::string();
}

std::string echoOf(const FakeMessage &Message) {
  std::string Text = Message.Method_ + " " + Message.Target_ + "\n";
  for (const Header &Each : Message.Headers_)
    Text += Each.Name_ + ": " + Each.Value_ + "\n";
  return Text + "\n" + Message.Body_;
}

} // namespace

const char *fakeStateName(FakeState State) {
  switch (State) {
  case FakeState::Serving:
    return "serving";
  case FakeState::Draining:
    return "draining";
  case FakeState::Left:
    return "left";
  }
  return "left";
}

FakeUpstream::FakeUpstream(asio::io_context &Context,
                           FakeUpstreamOptions Options)
    : Context_(Context), Options_(std::move(Options)), Acceptor_(Context),
      StartedAt_(std::chrono::steady_clock::now()), Random_(Options_.Seed_) {}

Status FakeUpstream::start() {
  asio::error_code Failure;
  const auto Address =
      asio::ip::make_address(Options_.Address_.address(), Failure);
  const asio::ip::tcp::endpoint Wanted(Address,
                                       Options_.Address_.port().value());
  Acceptor_.open(Wanted.protocol(), Failure);
  Acceptor_.set_option(asio::socket_base::reuse_address(true), Failure);
  Acceptor_.bind(Wanted, Failure);
  if (!Failure)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{ErrorCode::Unavailable, Failure.message(), {}};
  JAYBRIDGE_TRY(Address_,
                Endpoint::create(Options_.Address_.address(),
                                 Port(Acceptor_.local_endpoint().port())));
  accept();
  return success();
}

void FakeUpstream::accept() {
  Acceptor_.async_accept([this](asio::error_code Failure,
                                asio::ip::tcp::socket Socket) {
    if (Failure)
      return;
    FakeSession::Sinks Sinks{
        [this](std::shared_ptr<FakeSession> Session, FakeMessage Message) {
          onReceived(std::move(Session), std::move(Message));
        },
        [this](FakeSession &Session) { onClosed(Session); }};
    std::make_shared<FakeSession>(std::move(Socket), std::move(Sinks))->start();
    accept();
  });
}

SlotCount FakeUpstream::busy() const {
  return SlotCount(static_cast<std::uint32_t>(Executing_.size()));
}

void FakeUpstream::onReceived(std::shared_ptr<FakeSession> Session,
                              FakeMessage Message) {
  if (answerControl(*Session, Message))
    return;
  Work Received{std::move(Session), std::move(Message), std::nullopt};
  if (auto Left = valueOf(Received.Message_, DeadlineHeader); !Left.empty())
    Received.Deadline_ = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::atoll(Left.c_str()));
  admit(std::move(Received));
}

bool FakeUpstream::answerControl(FakeSession &Session,
                                 const FakeMessage &Message) {
  const std::vector<Header> JSON = {{"Content-Type", "application/json"}};
  const std::string Call = Message.Method_ + " " + Message.Target_;
  if (Call == "GET /load") {
    Session.answer(StatusCode(200), JSON, loadText());
  } else if (Call == "GET /_fake/log") {
    Session.answer(StatusCode(200), JSON, logText());
  } else if (Call == "POST /_fake/log/clear") {
    Log_.clear();
    for (auto &[Key, Running] : Executing_)
      Running.LogEntry_.reset();
    Session.answer(StatusCode(204), {}, "");
  } else if (Call == "POST /_fake/drain") {
    Session.answer(StatusCode(202), {}, "");
    drain(std::move(Drained_));
  } else if (Call == "POST /_fake/faults") {
    auto Read = FakeFaults::create(Message.Body_);
    if (Read)
      Faults_ = Read.takeValue();
    Session.answer(StatusCode(Read ? 204 : 400), {},
                   Read ? "" : Read.error().Message_);
  } else {
    return false;
  }
  return true;
}

void FakeUpstream::admit(Work Received) {
  const bool IsProbe = Received.Message_.Target_ == "/health";
  if (IsProbe && Faults_.FailProbes_) {
    Received.Session_->answer(StatusCode(503), {}, "");
    return;
  }
  if (State_ != FakeState::Serving && !IsProbe) {
    Received.Session_->closeAfterAnswer();
    shed(*Received.Session_);
    return;
  }
  if (Executing_.size() < Options_.Slots_.value())
    execute(std::move(Received));
  else if (Waiting_.size() < Options_.Waiting_.value())
    Waiting_.push_back(std::move(Received));
  else
    shed(*Received.Session_);
}

void FakeUpstream::shed(FakeSession &Session) {
  Shed_ += EventCount(1);
  Session.answer(StatusCode(503), {{OutcomeHeader, OutcomeNotRun}}, "");
}

FakeUpstream::Fault FakeUpstream::drawFault() {
  double Drawn = Random_.unit();
  const std::pair<FaultShare, Fault> Shares[] = {{Faults_.Fail_, Fault::Fail},
                                                 {Faults_.Hang_, Fault::Hang},
                                                 {Faults_.Cut_, Fault::Cut},
                                                 {Faults_.Lose_, Fault::Lose}};
  for (const auto &[Share, Kind] : Shares) {
    if (Drawn < Share.value())
      return Kind;
    Drawn -= Share.value();
  }
  return Fault::None;
}

Duration FakeUpstream::serviceTime() const {
  const bool IsCold =
      std::chrono::steady_clock::now() < StartedAt_ + Options_.ColdStart_;
  const double Factor =
      Faults_.Slow_.value() * (IsCold ? Options_.ColdFactor_.value() : 1);
  return std::chrono::duration_cast<Duration>(Options_.ServiceTime_ * Factor);
}

void FakeUpstream::execute(Work Admitted) {
  FakeSession *Key = Admitted.Session_.get();
  const FakeMessage &Message = Admitted.Message_;
  const bool IsProbe = Message.Target_ == "/health";
  Execution Begun;
  Begun.Timer_ = std::make_unique<asio::steady_timer>(Context_);
  if (!IsProbe) {
    Begun.LogEntry_ = Log_.size();
    Log_.push_back({valueOf(Message, RequestIdHeader),
                    valueOf(Message, IdempotencyKeyHeader), Message.Method_,
                    Message.Target_, "running"});
  }
  if (!Faults_.CrashBody_.empty() &&
      Message.Body_.find(Faults_.CrashBody_) != std::string::npos)
    std::_Exit(CrashCode);
  const Fault Drawn = IsProbe ? Fault::None : drawFault();
  Begun.Work_ = std::move(Admitted);
  Execution &Running = Executing_[Key] = std::move(Begun);
  if (Drawn == Fault::Hang)
    return;
  Running.Timer_->expires_after(IsProbe ? Options_.ProbeTime_ : serviceTime());
  Running.Timer_->async_wait([this, Key, Drawn](asio::error_code Failure) {
    if (!Failure)
      finish(Key, Drawn);
  });
}

void FakeUpstream::finish(FakeSession *Key, Fault Drawn) {
  auto Found = Executing_.find(Key);
  // The session may have closed while the timer's handler was due.
  if (Found == Executing_.end())
    return;
  const std::shared_ptr<FakeSession> Session = Found->second.Work_.Session_;
  const FakeMessage Message = std::move(Found->second.Work_.Message_);
  const bool IsProbe = Message.Target_ == "/health";
  endExecution(Key, Drawn == Fault::None ? "answered" : "faulty");
  const std::string Echo = IsProbe ? loadText() : echoOf(Message);
  const std::vector<Header> Named = {
      {"X-Fake-Instance", Options_.Instance_.text()}};
  if (!IsProbe && Random_.unit() < Faults_.Close_.value())
    Session->closeAfterAnswer();
  if (Drawn == Fault::Fail)
    Session->answer(StatusCode(500), Named, "failed by the fake upstream");
  else if (Drawn == Fault::Cut)
    Session->answerCutShort(Echo);
  else if (Drawn == Fault::Lose)
    Session->close();
  else
    Session->answer(StatusCode(200), Named, Echo);
  startWaiting();
  checkDrained();
}

void FakeUpstream::endExecution(FakeSession *Key, const char *End) {
  auto Found = Executing_.find(Key);
  if (auto Entry = Found->second.LogEntry_)
    Log_[*Entry].End_ = End;
  Executing_.erase(Found);
}

void FakeUpstream::startWaiting() {
  while (!Waiting_.empty() && Executing_.size() < Options_.Slots_.value()) {
    Work Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    if (Next.Deadline_ && *Next.Deadline_ <= std::chrono::steady_clock::now())
      shed(*Next.Session_);
    else
      execute(std::move(Next));
  }
}

void FakeUpstream::onClosed(FakeSession &Session) {
  std::erase_if(Waiting_, [&](const Work &Each) {
    return Each.Session_.get() == &Session;
  });
  if (Executing_.contains(&Session))
    endExecution(&Session, "cancelled");
  startWaiting();
  checkDrained();
}

void FakeUpstream::drain(std::function<void()> Drained) {
  State_ = FakeState::Draining;
  Drained_ = std::move(Drained);
  checkDrained();
}

void FakeUpstream::checkDrained() {
  if (State_ != FakeState::Draining || !Executing_.empty() || !Waiting_.empty())
    return;
  if (Drained_)
    asio::post(Context_, std::exchange(Drained_, nullptr));
}

std::string FakeUpstream::logText() const {
  auto Entries = nlohmann::json::array();
  for (const LogEntry &Each : Log_)
    Entries.push_back({{"request_id", Each.RequestId_},
                       {"key", Each.Key_},
                       {"method", Each.Method_},
                       {"target", Each.Target_},
                       {"end", Each.End_}});
  return nlohmann::json({{"shed", Shed_.value()}, {"executed", Entries}})
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FakeUpstream::loadText() const {
  return nlohmann::json({{"state", fakeStateName(State_)},
                         {"busy", Executing_.size()},
                         {"waiting", Waiting_.size()},
                         {"slots", Options_.Slots_.value()}})
      .dump();
}

} // namespace jaybridge
