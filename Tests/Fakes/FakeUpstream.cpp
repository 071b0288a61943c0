#include <Fakes/FakeUpstream.h>

#include <LibHTTP/HeaderRules.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jaybridge {

namespace {

/// Exit code of an injected crash, which sends no announcement or response.
constexpr int CrashExitCode = 70;

std::string headerValue(const FakeRequest &Request, const char *Name) {
  const Header *Found = findHeader(Request.Headers_, Name);
  return Found ? Found->Value_ : std::string();
}

std::string echoText(const FakeRequest &Request) {
  std::string Text = Request.Method_ + " " + Request.Target_ + "\n";
  for (const Header &Field : Request.Headers_)
    Text += Field.Name_ + ": " + Field.Value_ + "\n";
  return Text + "\n" + Request.Body_;
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
  const asio::ip::tcp::endpoint RequestedAddress(
      Address, Options_.Address_.port().value());
  Acceptor_.open(RequestedAddress.protocol(), Failure);
  Acceptor_.set_option(asio::socket_base::reuse_address(true), Failure);
  Acceptor_.bind(RequestedAddress, Failure);
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
  Acceptor_.async_accept(
      [this](asio::error_code Failure, asio::ip::tcp::socket Socket) {
        if (Failure)
          return;
        FakeSession::Handlers Handlers{
            [this](std::shared_ptr<FakeSession> Session, FakeRequest Request) {
              onReceived(std::move(Session), std::move(Request));
            },
            [this](FakeSession &Session) { onClosed(Session); }};
        std::make_shared<FakeSession>(std::move(Socket), std::move(Handlers))
            ->start();
        accept();
      });
}

SlotCount FakeUpstream::busy() const {
  return SlotCount(static_cast<std::uint32_t>(Executing_.size()));
}

void FakeUpstream::onReceived(std::shared_ptr<FakeSession> Session,
                              FakeRequest Request) {
  if (handleControlRequest(*Session, Request))
    return;
  Task Received{std::move(Session), std::move(Request), std::nullopt};
  if (auto TimeLeft = headerValue(Received.Request_, DeadlineHeader);
      !TimeLeft.empty())
    Received.Deadline_ =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::atoll(TimeLeft.c_str()));
  admit(std::move(Received));
}

bool FakeUpstream::handleControlRequest(FakeSession &Session,
                                        const FakeRequest &Request) {
  const std::vector<Header> JSONHeaders = {
      {"Content-Type", "application/json"}};
  const std::string RequestLine = Request.Method_ + " " + Request.Target_;
  if (RequestLine == "GET /load") {
    Session.respond(StatusCode(200), JSONHeaders, loadText());
  } else if (RequestLine == "GET /_fake/log") {
    Session.respond(StatusCode(200), JSONHeaders, logText());
  } else if (RequestLine == "POST /_fake/log/clear") {
    Log_.clear();
    for (auto &[Key, Running] : Executing_)
      Running.LogEntry_.reset();
    Session.respond(StatusCode(204), {}, "");
  } else if (RequestLine == "POST /_fake/drain") {
    Session.respond(StatusCode(202), {}, "");
    drain(std::move(OnDrained_));
  } else if (RequestLine == "POST /_fake/faults") {
    auto Parsed = FakeFaults::create(Request.Body_);
    if (Parsed)
      Faults_ = Parsed.takeValue();
    Session.respond(StatusCode(Parsed ? 204 : 400), {},
                    Parsed ? "" : Parsed.error().Message_);
  } else {
    return false;
  }
  return true;
}

void FakeUpstream::admit(Task Received) {
  const bool IsProbe = Received.Request_.Target_ == "/health";
  if (IsProbe && Faults_.FailProbes_) {
    Received.Session_->respond(StatusCode(503), {}, "");
    return;
  }
  if (State_ != FakeState::Serving && !IsProbe) {
    Received.Session_->closeAfterResponse();
    shed(Received);
    return;
  }
  if (Executing_.size() < Options_.Slots_.value())
    execute(std::move(Received));
  else if (Queue_.size() < Options_.QueueCapacity_.value())
    Queue_.push_back(std::move(Received));
  else
    shed(Received);
}

void FakeUpstream::shed(const Task &Refused) {
  Shed_ += EventCount(1);
  std::vector<Header> Headers = {{OutcomeHeader, OutcomeNotRun}};
  if (const Header *Id = findHeader(Refused.Request_.Headers_, RequestIdHeader))
    Headers.push_back({RequestIdHeader, Id->Value_});
  Refused.Session_->respond(StatusCode(503), std::move(Headers), "");
}

FakeUpstream::Fault FakeUpstream::drawFault() {
  double Remaining = Random_.unit();
  const std::pair<FaultShare, Fault> Shares[] = {
      {Faults_.FailShare_, Fault::Fail},
      {Faults_.HangShare_, Fault::Hang},
      {Faults_.TruncateShare_, Fault::Truncate},
      {Faults_.DropShare_, Fault::Drop}};
  for (const auto &[Share, Kind] : Shares) {
    if (Remaining < Share.value())
      return Kind;
    Remaining -= Share.value();
  }
  return Fault::None;
}

Duration FakeUpstream::serviceTime() const {
  const bool IsCold =
      std::chrono::steady_clock::now() < StartedAt_ + Options_.ColdStart_;
  const double Factor =
      Faults_.SlowFactor_.value() * (IsCold ? Options_.ColdFactor_.value() : 1);
  return std::chrono::duration_cast<Duration>(Options_.ServiceTime_ * Factor);
}

void FakeUpstream::execute(Task Admitted) {
  FakeSession *Key = Admitted.Session_.get();
  const FakeRequest &Request = Admitted.Request_;
  const bool IsProbe = Request.Target_ == "/health";
  Execution NewExecution;
  NewExecution.Timer_ = std::make_unique<asio::steady_timer>(Context_);
  if (!IsProbe) {
    NewExecution.LogEntry_ = Log_.size();
    Log_.push_back({headerValue(Request, RequestIdHeader),
                    headerValue(Request, IdempotencyKeyHeader), Request.Method_,
                    Request.Target_, "running"});
  }
  if (!Faults_.CrashMarker_.empty() &&
      Request.Body_.find(Faults_.CrashMarker_) != std::string::npos)
    std::_Exit(CrashExitCode);
  const Fault Drawn = IsProbe ? Fault::None : drawFault();
  NewExecution.Task_ = std::move(Admitted);
  Execution &Running = Executing_[Key] = std::move(NewExecution);
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
  // The session may have been closed when the timer's handler was already
  // queued.
  if (Found == Executing_.end())
    return;
  const std::shared_ptr<FakeSession> Session = Found->second.Task_.Session_;
  const FakeRequest Request = std::move(Found->second.Task_.Request_);
  const bool IsProbe = Request.Target_ == "/health";
  endExecution(Key, Drawn == Fault::None ? "answered" : "faulty");
  const std::string Echo = IsProbe ? loadText() : echoText(Request);
  const std::vector<Header> InstanceHeaders = {
      {"X-Fake-Instance", Options_.Instance_.text()}};
  if (!IsProbe && Random_.unit() < Faults_.CloseShare_.value())
    Session->closeAfterResponse();
  if (Drawn == Fault::Fail)
    Session->respond(StatusCode(500), InstanceHeaders,
                     "failed by the fake upstream");
  else if (Drawn == Fault::Truncate)
    Session->respondTruncated(Echo);
  else if (Drawn == Fault::Drop)
    Session->close();
  else
    Session->respond(StatusCode(200), InstanceHeaders, Echo);
  startQueued();
  notifyIfDrained();
}

void FakeUpstream::endExecution(FakeSession *Key, const char *Outcome) {
  auto Found = Executing_.find(Key);
  if (auto Entry = Found->second.LogEntry_)
    Log_[*Entry].Outcome_ = Outcome;
  Executing_.erase(Found);
}

void FakeUpstream::startQueued() {
  while (!Queue_.empty() && Executing_.size() < Options_.Slots_.value()) {
    Task Next = std::move(Queue_.front());
    Queue_.pop_front();
    if (Next.Deadline_ && *Next.Deadline_ <= std::chrono::steady_clock::now())
      shed(Next);
    else
      execute(std::move(Next));
  }
}

void FakeUpstream::onClosed(FakeSession &Session) {
  std::erase_if(Queue_, [&](const Task &Queued) {
    return Queued.Session_.get() == &Session;
  });
  if (Executing_.contains(&Session))
    endExecution(&Session, "cancelled");
  startQueued();
  notifyIfDrained();
}

void FakeUpstream::drain(std::function<void()> OnDrained) {
  State_ = FakeState::Draining;
  OnDrained_ = std::move(OnDrained);
  notifyIfDrained();
}

void FakeUpstream::notifyIfDrained() {
  if (State_ != FakeState::Draining || !Executing_.empty() || !Queue_.empty())
    return;
  if (OnDrained_)
    asio::post(Context_, std::exchange(OnDrained_, nullptr));
}

std::string FakeUpstream::logText() const {
  auto Entries = nlohmann::json::array();
  for (const LogEntry &Entry : Log_)
    Entries.push_back({{"request_id", Entry.RequestId_},
                       {"key", Entry.Key_},
                       {"method", Entry.Method_},
                       {"target", Entry.Target_},
                       {"end", Entry.Outcome_}});
  return nlohmann::json({{"shed", Shed_.value()}, {"executed", Entries}})
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FakeUpstream::loadText() const {
  return nlohmann::json({{"state", fakeStateName(State_)},
                         {"busy", Executing_.size()},
                         {"waiting", Queue_.size()},
                         {"slots", Options_.Slots_.value()}})
      .dump();
}

} // namespace jaybridge
