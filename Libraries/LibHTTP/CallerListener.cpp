#include <LibHTTP/CallerListener.h>

#include <LibHTTP/HeaderRules.h>
#include <LibHTTP/ProblemDocument.h>
#include <LibHTTP/RequestIdGenerator.h>
#include <LibHTTP/RequestParser.h>
#include <LibHTTP/ServerThread.h>
#include <LibRuntime/SystemClock.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace jaybridge {

namespace {

/// With one pipelined request RESTinio stops reading while it waits for the
/// answer and would not notice that the caller closed the connection.
constexpr std::size_t PipelinedRequests = 4;
/// RESTinio closes a connection without an answer when its own body limit is
/// exceeded, so it reads up to this multiple of the stated limit, which is
/// then answered with 413.
constexpr std::uint64_t ReadLimitFactor = 4;
/// The gateway answers every request; RESTinio's default of 10 s would close
/// the connection of a slow but valid one.
constexpr auto HandlingLimit = std::chrono::hours(24);
constexpr auto WritingLimit = std::chrono::seconds(60);
constexpr auto IdleLimit = std::chrono::seconds(75);

using ConnectionNumber = restinio::connection_id_t;

class ConnectionWatch {
public:
  explicit ConnectionWatch(std::function<void(ConnectionNumber)> OnClosed)
      : OnClosed_(std::move(OnClosed)) {}

  // The name is RESTinio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t &Notice) {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      OnClosed_(Notice.connection_id());
  }

private:
  std::function<void(ConnectionNumber)> OnClosed_;
};

// The names in this structure are RESTinio's.
struct Traits : public restinio::default_single_thread_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using connection_state_listener_t = ConnectionWatch;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

/// Number of answers that are due or being written. Shared with the write
/// notifications, which may outlive the server.
class OpenAnswers {
public:
  std::shared_ptr<void> begin(const std::shared_ptr<OpenAnswers> &Self) {
    std::lock_guard Lock(Mutex_);
    ++Count_;
    return std::shared_ptr<void>(nullptr, [Self](void *) { Self->finish(); });
  }
  bool waitUntilNone(Duration Limit) {
    std::unique_lock Lock(Mutex_);
    return None_.wait_for(Lock, Limit, [this] { return Count_ == 0; });
  }

private:
  void finish() {
    std::lock_guard Lock(Mutex_);
    if (--Count_ == 0)
      None_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable None_;
  std::size_t Count_ = 0;
};

struct PendingRequest {
  restinio::request_handle_t Handle_;
  std::shared_ptr<void> Open_;
  std::optional<RequestId> CallerId_;
};

void count(std::atomic<std::uint64_t> &Counter) {
  Counter.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

class CallerListener::Server {
public:
  Server(CallerListenerOptions Options, CallerListenerCallbacks Sinks)
      : Options_(std::move(Options)), Sinks_(std::move(Sinks)),
        Ids_(Options_.Member_, Options_.StartedAt_) {}
  ~Server() { stop(); }

  Status start() {
    JAYBRIDGE_TRY(Address_, Thread_.start(Options_.Address_, settings()));
    return success();
  }

  void stop() {
    Thread_.stop();
    Pending_.clear();
  }

  void closeAfterAnswers() {
    Thread_.post([this] { Draining_ = true; });
  }

  void stopAccepting() {
    Thread_.post([this] {
      Draining_ = true;
      Thread_.closeAcceptor();
    });
  }

  void answer(const RequestId &Id, Answer Given, ConfigurationVersion Version) {
    Thread_.post([this, Id, Given = std::move(Given), Version]() mutable {
      auto Found = Pending_.find(Id);
      if (Found == Pending_.end()) {
        count(UndeliveredAnswers_);
        return;
      }
      PendingRequest Request = std::move(Found->second);
      Pending_.erase(Found);
      forget(Request.Handle_->connection_id(), Id);
      write(std::move(Request), Id, Given, Version);
    });
  }

  bool waitUntilAnswered(Duration Limit) { return Open_->waitUntilNone(Limit); }
  const Endpoint &address() const { return Address_; }

  CallerListenerCounts counts() const {
    return {EventCount(Received_), EventCount(Refused_),
            EventCount(Disconnected_), EventCount(UndeliveredAnswers_)};
  }

private:
  restinio::server_settings_t<Traits> settings() {
    restinio::server_settings_t<Traits> Settings;
    Settings.max_pipelined_requests(PipelinedRequests)
        .max_parallel_connections(Options_.MaxConnections_.value())
        .handle_request_timeout(HandlingLimit)
        .write_http_response_timelimit(WritingLimit)
        .read_next_http_message_timelimit(IdleLimit)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                Options_.BodyLimit_.value() * ReadLimitFactor))
        .connection_state_listener(std::make_shared<ConnectionWatch>(
            [this](ConnectionNumber Closed) { onClosed(Closed); }))
        .request_handler([this](restinio::request_handle_t Received) { // NOLINT
          return onRequest(std::move(Received));
        });
    return Settings;
  }

  restinio::request_handling_status_t
  onRequest(restinio::request_handle_t Received) {
    count(Received_);
    RequestId Id = Ids_.next();
    PendingRequest Pending{Received, Open_->begin(Open_), {}};
    auto Read = read(Received, Id);
    if (const Refusal *Refused = std::get_if<Refusal>(&Read)) {
      refuse(std::move(Pending), Id, *Refused);
      return restinio::request_accepted();
    }
    Pending.CallerId_ = std::get<Request>(Read).CallerId_;
    // Registered first: the answer may come before the sink returns.
    Pending_.emplace(Id, Pending);
    ByConnection_[Received->connection_id()].insert(Id);
    if (!Sinks_.Received_(std::make_shared<const Request>(
            std::move(std::get<Request>(Read))))) {
      Pending_.erase(Id);
      forget(Received->connection_id(), Id);
      constexpr Duration RetryAfter = 1s;
      refuse(std::move(Pending), Id,
             Refusal{Outcome::NotRun, RefusalReason::Overloaded, RetryAfter,
                     "the queue of received requests is full"});
    }
    return restinio::request_accepted();
  }

  std::variant<Request, Refusal> read(const restinio::request_handle_t &Handle,
                                      const RequestId &Id) const {
    auto &HTTPHeader = Handle->header();
    if (HTTPHeader.connection() == restinio::http_connection_header_t::upgrade)
      return Refusal{Outcome::NotRun, RefusalReason::BadRequest, std::nullopt,
                     "protocol upgrades are not supported"};
    RawHTTPRequest Message;
    Message.Method_ = HTTPHeader.method().c_str();
    Message.Target_ = HTTPHeader.request_target();
    Message.Headers_.reserve(HTTPHeader.fields_count());
    HTTPHeader.for_each_field([&](const auto &Field) {
      Message.Headers_.push_back(Header{Field.name(), Field.value()});
    });
    Message.Body_ = Handle->body();
    return parseRequest(Id, std::move(Message), Options_.BodyLimit_,
                        Options_.Dialect_, monotonicNow());
  }

  void refuse(PendingRequest Request, const RequestId &Id,
              const Refusal &Refused) {
    count(Refused_);
    write(std::move(Request), Id, Refused, LastVersion_);
  }

  void write(PendingRequest Request, const RequestId &Id, const Answer &Given,
             ConfigurationVersion Version) {
    LastVersion_ = std::max(LastVersion_, Version);
    if (const Refusal *Refused = std::get_if<Refusal>(&Given)) {
      Response Problem;
      Problem.Status_ = statusOf(*Refused);
      Problem.Headers_.push_back({"Content-Type", ProblemContentType});
      if (Refused->RetryAfter_)
        Problem.Headers_.push_back(
            {"Retry-After",
             Options_.Dialect_.HasFractionalRetryAfter_
                 ? fractionalRetryAfterSeconds(*Refused->RetryAfter_)
                 : retryAfterSeconds(*Refused->RetryAfter_)});
      if (Request.CallerId_)
        Problem.Headers_.push_back(
            {Options_.Dialect_.CallerRequestId_, Request.CallerId_->text()});
      Problem.Body_ =
          std::make_shared<const std::string>(problemDocumentOf(*Refused));
      writeResponse(std::move(Request), Id, Problem, Version);
      return;
    }
    writeResponse(std::move(Request), Id, std::get<Response>(Given), Version);
  }

  template <typename Builder>
  void prepare(Builder &Answered, const restinio::request_handle_t &Handle,
               const RequestId &Id, const Response &Given,
               ConfigurationVersion Version) const {
    const bool IsUpgrade = Handle->header().connection() ==
                           restinio::http_connection_header_t::upgrade;
    if (Draining_ || IsUpgrade || !Handle->header().should_keep_alive())
      Answered.connection_close();
    std::vector<Header> Headers = Given.Headers_;
    removeHopByHopHeaders(Headers);
    for (Header &Each : Headers)
      if (!isSameHeaderName(Each.Name_, "Content-Length"))
        Answered.append_header(std::move(Each.Name_), std::move(Each.Value_));
    if (Options_.Dialect_.Addressing_ == ServiceAddressing::HostAndPath)
      return;
    Answered.append_header(RequestIdHeader, Id.text());
    Answered.append_header(ConfigurationVersionHeader,
                           std::to_string(Version.value()));
  }

  void writeResponse(PendingRequest Request, const RequestId &Id,
                     const Response &Given, ConfigurationVersion Version) {
    const restinio::request_handle_t &Handle = Request.Handle_;
    restinio::http_status_line_t Line(
        restinio::http_status_code_t(Given.Status_.value()),
        reasonPhrase(Given.Status_));
    // The token lives until the answer was written or its connection closed.
    auto OnWritten = [Open = Request.Open_](const auto &) {};
    try {
      if (Handle->header().method() == restinio::http_method_head()) {
        auto Answered =
            Handle->create_response<restinio::user_controlled_output_t>(Line);
        prepare(Answered, Handle, Id, Given, Version);
        const Header *Length = findHeader(Given.Headers_, "Content-Length");
        Answered.set_content_length(
            Length ? std::strtoull(Length->Value_.c_str(), nullptr, 10)
                   : (Given.Body_ ? Given.Body_->size() : 0));
        Answered.done(std::move(OnWritten));
        return;
      }
      auto Answered = Handle->create_response(Line);
      prepare(Answered, Handle, Id, Given, Version);
      if (Given.Body_ && !Given.Body_->empty())
        Answered.set_body(Given.Body_);
      Answered.done(std::move(OnWritten));
    } catch (const std::exception &) {
      // RESTinio throws when the connection has been closed meanwhile.
      count(UndeliveredAnswers_);
    }
  }

  void forget(ConnectionNumber Connection, const RequestId &Id) {
    auto Found = ByConnection_.find(Connection);
    if (Found == ByConnection_.end())
      return;
    Found->second.erase(Id);
    if (Found->second.empty())
      ByConnection_.erase(Found);
  }

  void onClosed(ConnectionNumber Connection) {
    auto Found = ByConnection_.find(Connection);
    if (Found == ByConnection_.end())
      return;
    std::set<RequestId> Open = std::move(Found->second);
    ByConnection_.erase(Found);
    for (const RequestId &Id : Open) {
      Pending_.erase(Id);
      count(Disconnected_);
      Sinks_.Disconnected_(Id);
    }
  }

  CallerListenerOptions Options_;
  CallerListenerCallbacks Sinks_;
  RequestIdGenerator Ids_;
  Endpoint Address_;
  std::shared_ptr<OpenAnswers> Open_ = std::make_shared<OpenAnswers>();
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> Refused_ = 0;
  std::atomic<std::uint64_t> Disconnected_ = 0;
  std::atomic<std::uint64_t> UndeliveredAnswers_ = 0;

  // Used by the listener's thread only.
  std::map<RequestId, PendingRequest> Pending_;
  std::map<ConnectionNumber, std::set<RequestId>> ByConnection_;
  ConfigurationVersion LastVersion_;
  bool Draining_ = false;
  ServerThread<Traits> Thread_;
};

CallerListener::CallerListener(std::unique_ptr<Server> Running)
    : Server_(std::move(Running)) {}
CallerListener::~CallerListener() = default;
CallerListener::CallerListener(CallerListener &&) noexcept = default;
CallerListener &CallerListener::operator=(CallerListener &&) noexcept = default;

Result<CallerListener> CallerListener::create(CallerListenerOptions Options,
                                              CallerListenerCallbacks Sinks) {
  auto Running = std::make_unique<Server>(std::move(Options), std::move(Sinks));
  JAYBRIDGE_TRY_STATUS(Running->start());
  return CallerListener(std::move(Running));
}

const Endpoint &CallerListener::address() const { return Server_->address(); }
CallerListenerCounts CallerListener::counts() const {
  return Server_->counts();
}
void CallerListener::answer(const RequestId &Id, Answer Given,
                            ConfigurationVersion Version) {
  Server_->answer(Id, std::move(Given), Version);
}
void CallerListener::closeAfterAnswers() { Server_->closeAfterAnswers(); }
void CallerListener::stopAccepting() { Server_->stopAccepting(); }
bool CallerListener::waitUntilAnswered(Duration Limit) {
  return Server_->waitUntilAnswered(Limit);
}
void CallerListener::stop() { Server_->stop(); }

} // namespace jaybridge
