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

/// With a limit of one pipelined request, RESTinio stops reading while it waits
/// for the response and does not detect that the caller closed the connection.
constexpr std::size_t MaxPipelinedRequests = 4;
/// RESTinio closes the connection without a response when its own body limit is
/// exceeded. Its limit is therefore this multiple of the configured one, so
/// that moderately oversized bodies are read and answered with 413.
constexpr std::uint64_t BodyReadLimitFactor = 4;
/// The gateway answers every request; RESTinio's default of 10 s would close
/// the connection of a slow but valid request.
constexpr auto HandlingTimeout = std::chrono::hours(24);
constexpr auto WriteTimeout = std::chrono::seconds(60);
constexpr auto IdleTimeout = std::chrono::seconds(75);

using ConnectionId = restinio::connection_id_t;

class ConnectionCloseListener {
public:
  explicit ConnectionCloseListener(std::function<void(ConnectionId)> OnClosed)
      : OnClosed_(std::move(OnClosed)) {}

  // RESTinio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t &Notice) {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      OnClosed_(Notice.connection_id());
  }

private:
  std::function<void(ConnectionId)> OnClosed_;
};

// RESTinio prescribes the names in this structure.
struct Traits : public restinio::default_single_thread_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using connection_state_listener_t = ConnectionCloseListener;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

/// Counts the requests whose response is not yet written completely. Shared
/// with the write notifications, which may outlive the server.
class UnwrittenAnswers {
public:
  std::shared_ptr<void> add(const std::shared_ptr<UnwrittenAnswers> &Self) {
    std::lock_guard Lock(Mutex_);
    ++Count_;
    return std::shared_ptr<void>(nullptr, [Self](void *) { Self->remove(); });
  }
  bool waitUntilNone(Duration Timeout) {
    std::unique_lock Lock(Mutex_);
    return AllWritten_.wait_for(Lock, Timeout, [this] { return Count_ == 0; });
  }

private:
  void remove() {
    std::lock_guard Lock(Mutex_);
    if (--Count_ == 0)
      AllWritten_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable AllWritten_;
  std::size_t Count_ = 0;
};

struct PendingRequest {
  restinio::request_handle_t Handle_;
  std::shared_ptr<void> AnswerToken_;
  std::optional<RequestId> CallerId_;
};

void increment(std::atomic<std::uint64_t> &Counter) {
  Counter.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

class CallerListener::Server {
public:
  Server(CallerListenerOptions Options, CallerListenerCallbacks Callbacks)
      : Options_(std::move(Options)), Callbacks_(std::move(Callbacks)),
        IdGenerator_(Options_.Member_, Options_.StartedAt_) {}
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
    Thread_.post([this] { IsDraining_ = true; });
  }

  void stopAccepting() {
    Thread_.post([this] {
      IsDraining_ = true;
      Thread_.closeAcceptor();
    });
  }

  void answer(const RequestId &Id, Answer Content,
              ConfigurationVersion Version) {
    Thread_.post([this, Id, Content = std::move(Content), Version]() mutable {
      auto Found = Pending_.find(Id);
      if (Found == Pending_.end()) {
        increment(UndeliveredAnswers_);
        return;
      }
      PendingRequest Request = std::move(Found->second);
      Pending_.erase(Found);
      removeFromConnection(Request.Handle_->connection_id(), Id);
      write(std::move(Request), Id, Content, Version);
    });
  }

  bool waitUntilAnswered(Duration Timeout) {
    return UnwrittenAnswers_->waitUntilNone(Timeout);
  }
  const Endpoint &address() const { return Address_; }

  CallerListenerCounts counts() const {
    return {EventCount(Received_), EventCount(Refused_),
            EventCount(Disconnected_), EventCount(UndeliveredAnswers_)};
  }

private:
  restinio::server_settings_t<Traits> settings() {
    restinio::server_settings_t<Traits> Settings;
    Settings.max_pipelined_requests(MaxPipelinedRequests)
        .max_parallel_connections(Options_.MaxConnections_.value())
        .handle_request_timeout(HandlingTimeout)
        .write_http_response_timelimit(WriteTimeout)
        .read_next_http_message_timelimit(IdleTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                Options_.BodyLimit_.value() * BodyReadLimitFactor))
        .connection_state_listener(std::make_shared<ConnectionCloseListener>(
            [this](ConnectionId Closed) { onClosed(Closed); }))
        .request_handler([this](restinio::request_handle_t Received) { // NOLINT
          return onRequest(std::move(Received));
        });
    return Settings;
  }

  restinio::request_handling_status_t
  onRequest(restinio::request_handle_t Received) {
    increment(Received_);
    RequestId Id = IdGenerator_.next();
    PendingRequest Pending{
        Received, UnwrittenAnswers_->add(UnwrittenAnswers_), {}};
    auto Parsed = parse(Received, Id);
    if (const Refusal *Refused = std::get_if<Refusal>(&Parsed)) {
      refuse(std::move(Pending), Id, *Refused);
      return restinio::request_accepted();
    }
    Pending.CallerId_ = std::get<Request>(Parsed).CallerId_;
    // Registered before the callback, since the answer may arrive before the
    // callback returns.
    Pending_.emplace(Id, Pending);
    ByConnection_[Received->connection_id()].insert(Id);
    if (!Callbacks_.Received_(std::make_shared<const Request>(
            std::move(std::get<Request>(Parsed))))) {
      Pending_.erase(Id);
      removeFromConnection(Received->connection_id(), Id);
      constexpr Duration RetryAfter = 1s;
      refuse(std::move(Pending), Id,
             Refusal{Outcome::NotRun, RefusalReason::Overloaded, RetryAfter,
                     "the queue of received requests is full"});
    }
    return restinio::request_accepted();
  }

  std::variant<Request, Refusal> parse(const restinio::request_handle_t &Handle,
                                       const RequestId &Id) const {
    auto &HTTPHeader = Handle->header();
    if (HTTPHeader.connection() == restinio::http_connection_header_t::upgrade)
      return Refusal{Outcome::NotRun, RefusalReason::BadRequest, std::nullopt,
                     "protocol upgrades are not supported"};
    RawHTTPRequest Raw;
    Raw.Method_ = HTTPHeader.method().c_str();
    Raw.Target_ = HTTPHeader.request_target();
    Raw.Headers_.reserve(HTTPHeader.fields_count());
    HTTPHeader.for_each_field([&](const auto &Field) {
      Raw.Headers_.push_back(Header{Field.name(), Field.value()});
    });
    Raw.Body_ = Handle->body();
    return parseRequest(Id, std::move(Raw), Options_.BodyLimit_,
                        Options_.Dialect_, monotonicNow());
  }

  void refuse(PendingRequest Request, const RequestId &Id,
              const Refusal &Refused) {
    increment(Refused_);
    write(std::move(Request), Id, Refused, LastVersion_);
  }

  void write(PendingRequest Request, const RequestId &Id, const Answer &Content,
             ConfigurationVersion Version) {
    LastVersion_ = std::max(LastVersion_, Version);
    if (const Refusal *Refused = std::get_if<Refusal>(&Content)) {
      Response Problem;
      Problem.Status_ = statusOf(*Refused);
      Problem.Headers_.push_back({"Content-Type", ProblemContentType});
      // RFC 9110, section 15.5.2.
      if (Refused->Reason_ == RefusalReason::Unauthorized)
        Problem.Headers_.push_back({"WWW-Authenticate", "Bearer"});
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
    writeResponse(std::move(Request), Id, std::get<Response>(Content), Version);
  }

  template <typename Builder>
  void setHeaders(Builder &ResponseBuilder,
                  const restinio::request_handle_t &Handle, const RequestId &Id,
                  const Response &Content, ConfigurationVersion Version) const {
    const bool IsUpgrade = Handle->header().connection() ==
                           restinio::http_connection_header_t::upgrade;
    if (IsDraining_ || IsUpgrade || !Handle->header().should_keep_alive())
      ResponseBuilder.connection_close();
    std::vector<Header> Headers = Content.Headers_;
    removeHopByHopHeaders(Headers);
    for (Header &Field : Headers)
      if (!isSameHeaderName(Field.Name_, "Content-Length"))
        ResponseBuilder.append_header(std::move(Field.Name_),
                                      std::move(Field.Value_));
    if (Options_.Dialect_.Addressing_ == ServiceAddressing::HostAndPath)
      return;
    ResponseBuilder.append_header(RequestIdHeader, Id.text());
    ResponseBuilder.append_header(ConfigurationVersionHeader,
                                  std::to_string(Version.value()));
  }

  void writeResponse(PendingRequest Request, const RequestId &Id,
                     const Response &Content, ConfigurationVersion Version) {
    const restinio::request_handle_t &Handle = Request.Handle_;
    restinio::http_status_line_t StatusLine(
        restinio::http_status_code_t(Content.Status_.value()),
        reasonPhrase(Content.Status_));
    // RESTinio keeps the notification, and with it the token, until the
    // response is written or its connection is closed.
    auto OnWritten = [Token = Request.AnswerToken_](const auto &) {};
    try {
      if (Handle->header().method() == restinio::http_method_head()) {
        auto ResponseBuilder =
            Handle->create_response<restinio::user_controlled_output_t>(
                StatusLine);
        setHeaders(ResponseBuilder, Handle, Id, Content, Version);
        const Header *ContentLength =
            findHeader(Content.Headers_, "Content-Length");
        ResponseBuilder.set_content_length(
            ContentLength
                ? std::strtoull(ContentLength->Value_.c_str(), nullptr, 10)
                : (Content.Body_ ? Content.Body_->size() : 0));
        ResponseBuilder.done(std::move(OnWritten));
        return;
      }
      auto ResponseBuilder = Handle->create_response(StatusLine);
      setHeaders(ResponseBuilder, Handle, Id, Content, Version);
      if (Content.Body_ && !Content.Body_->empty())
        ResponseBuilder.set_body(Content.Body_);
      ResponseBuilder.done(std::move(OnWritten));
    } catch (const std::exception &) {
      // RESTinio throws when the connection has been closed in the meantime.
      increment(UndeliveredAnswers_);
    }
  }

  void removeFromConnection(ConnectionId Connection, const RequestId &Id) {
    auto Found = ByConnection_.find(Connection);
    if (Found == ByConnection_.end())
      return;
    Found->second.erase(Id);
    if (Found->second.empty())
      ByConnection_.erase(Found);
  }

  void onClosed(ConnectionId Connection) {
    auto Found = ByConnection_.find(Connection);
    if (Found == ByConnection_.end())
      return;
    std::set<RequestId> OpenRequests = std::move(Found->second);
    ByConnection_.erase(Found);
    for (const RequestId &Id : OpenRequests) {
      Pending_.erase(Id);
      increment(Disconnected_);
      Callbacks_.Disconnected_(Id);
    }
  }

  CallerListenerOptions Options_;
  CallerListenerCallbacks Callbacks_;
  RequestIdGenerator IdGenerator_;
  Endpoint Address_;
  std::shared_ptr<UnwrittenAnswers> UnwrittenAnswers_ =
      std::make_shared<UnwrittenAnswers>();
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> Refused_ = 0;
  std::atomic<std::uint64_t> Disconnected_ = 0;
  std::atomic<std::uint64_t> UndeliveredAnswers_ = 0;

  // Accessed by the listener's thread only.
  std::map<RequestId, PendingRequest> Pending_;
  std::map<ConnectionId, std::set<RequestId>> ByConnection_;
  ConfigurationVersion LastVersion_;
  bool IsDraining_ = false;
  ServerThread<Traits> Thread_;
};

CallerListener::CallerListener(std::unique_ptr<Server> Running)
    : Server_(std::move(Running)) {}
CallerListener::~CallerListener() = default;
CallerListener::CallerListener(CallerListener &&) noexcept = default;
CallerListener &CallerListener::operator=(CallerListener &&) noexcept = default;

Result<CallerListener>
CallerListener::create(CallerListenerOptions Options,
                       CallerListenerCallbacks Callbacks) {
  auto Running =
      std::make_unique<Server>(std::move(Options), std::move(Callbacks));
  JAYBRIDGE_TRY_STATUS(Running->start());
  return CallerListener(std::move(Running));
}

const Endpoint &CallerListener::address() const { return Server_->address(); }
CallerListenerCounts CallerListener::counts() const {
  return Server_->counts();
}
void CallerListener::answer(const RequestId &Id, Answer Content,
                            ConfigurationVersion Version) {
  Server_->answer(Id, std::move(Content), Version);
}
void CallerListener::closeAfterAnswers() { Server_->closeAfterAnswers(); }
void CallerListener::stopAccepting() { Server_->stopAccepting(); }
bool CallerListener::waitUntilAnswered(Duration Timeout) {
  return Server_->waitUntilAnswered(Timeout);
}
void CallerListener::stop() { Server_->stop(); }

} // namespace jaybridge
