#include <LibHTTP/ControlListener.h>

#include <LibHTTP/HeaderRules.h>
#include <LibHTTP/ProblemDocument.h>
#include <LibHTTP/ServerThread.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

namespace jaybridge {

namespace {

/// Bounds how long a connection stays open when a handler never replies.
constexpr auto HandlingTimeout = std::chrono::seconds(60);
/// RESTinio closes the connection without a response when its own body limit is
/// exceeded. Its limit is therefore this multiple of the configured one, so
/// that moderately oversized bodies are read and answered with 413.
constexpr std::uint64_t BodyReadLimitFactor = 4;
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *MetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

ControlResponse problemResponse(StatusCode Status, std::string Detail) {
  nlohmann::json Document = {{"type", "about:blank"},
                             {"title", reasonPhrase(Status)},
                             {"status", Status.value()},
                             {"detail", std::move(Detail)}};
  return {Status, ProblemContentType, Document.dump()};
}

bool matchesPath(const ControlRoute &Route, std::string_view Path) {
  return Route.Path_.ends_with('/') ? Path.starts_with(Route.Path_)
                                    : Path == Route.Path_;
}

ControlRequest toControlRequest(const restinio::request_handle_t &Received) {
  ControlRequest Parsed;
  const auto &HTTPHeader = Received->header();
  Parsed.Method_ = HTTPHeader.method().c_str();
  Parsed.Path_ = std::string(HTTPHeader.path());
  Parsed.Query_ = std::string(HTTPHeader.query());
  HTTPHeader.for_each_field([&](const auto &Field) {
    Parsed.Headers_.push_back(Header{Field.name(), Field.value()});
  });
  Parsed.Body_ = Received->body();
  return Parsed;
}

void writeResponse(const restinio::request_handle_t &Received,
                   ControlResponse Content) {
  try {
    auto ResponseBuilder =
        Received->create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(Content.Status_.value()),
            reasonPhrase(Content.Status_)));
    if (Content.Status_ == StatusCode(401))
      ResponseBuilder.append_header("WWW-Authenticate", "Bearer");
    ResponseBuilder.append_header("Content-Type",
                                  std::move(Content.ContentType_));
    for (Header &Field : Content.Headers_)
      ResponseBuilder.append_header(std::move(Field.Name_),
                                    std::move(Field.Value_));
    ResponseBuilder.set_body(std::move(Content.Body_));
    ResponseBuilder.done();
  } catch (const std::exception &) {
    // RESTinio throws when the connection has been closed in the meantime, or
    // for a second response to the same request.
  }
}

} // namespace

class ControlListener::Server {
public:
  Server(ControlListenerOptions Options, std::vector<ControlRoute> Routes)
      : Options_(std::move(Options)), Routes_(std::move(Routes)) {
    std::stable_sort(Routes_.begin(), Routes_.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.Path_.size() > Right.Path_.size();
                     });
  }
  ~Server() { Thread_->stop(); }

  Status start() {
    restinio::server_settings_t<restinio::default_single_thread_traits_t>
        Settings;
    Settings.handle_request_timeout(HandlingTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                Options_.BodyLimit_.value() * BodyReadLimitFactor))
        .request_handler([this](restinio::request_handle_t Received) { // NOLINT
          onRequest(Received);
          return restinio::request_accepted();
        });
    JAYBRIDGE_TRY(Address_,
                  Thread_->start(Options_.Address_, std::move(Settings)));
    return success();
  }

  void stop() { Thread_->stop(); }
  const Endpoint &address() const { return Address_; }
  ControlListenerCounts counts() const {
    return {EventCount(Received_), EventCount(Unauthorized_)};
  }

private:
  using Thread = ServerThread<restinio::default_single_thread_traits_t>;

  void onRequest(const restinio::request_handle_t &Handle) {
    Received_.fetch_add(1, std::memory_order_relaxed);
    ControlRequest Received = toControlRequest(Handle);
    auto Found = std::find_if(Routes_.begin(), Routes_.end(),
                              [&](const ControlRoute &Route) {
                                return Route.Method_ == Received.Method_ &&
                                       matchesPath(Route, Received.Path_);
                              });
    // Unknown paths also require a token, so that unauthorized clients cannot
    // find out which paths exist.
    if ((Found == Routes_.end() ||
         Found->Access_ == ControlAccess::TokenRequired) &&
        !isAuthorized(Received)) {
      Unauthorized_.fetch_add(1, std::memory_order_relaxed);
      writeResponse(Handle, problemResponse(StatusCode(401),
                                            "a valid token is required"));
      return;
    }
    if (Found == Routes_.end()) {
      writeResponse(
          Handle, problemResponse(StatusCode(404), "no such method and path"));
      return;
    }
    if (Received.Body_.size() > Options_.BodyLimit_.value()) {
      writeResponse(Handle,
                    problemResponse(StatusCode(413), "the body is too long"));
      return;
    }
    // The reply function may outlive this listener; it then does nothing.
    Found->Handler_(std::move(Received), [WeakThread = std::weak_ptr(Thread_),
                                          Handle](ControlResponse Content) {
      if (auto LiveThread = WeakThread.lock())
        LiveThread->post([Handle, Content = std::move(Content)]() mutable {
          writeResponse(Handle, std::move(Content));
        });
    });
  }

  bool isAuthorized(const ControlRequest &Received) const {
    if (!Options_.Token_)
      return true;
    const Header *Authorization =
        findHeader(Received.Headers_, "Authorization");
    if (!Authorization || !Authorization->Value_.starts_with(BearerPrefix))
      return false;
    return Options_.Token_->isEqualTo(
        std::string_view(Authorization->Value_).substr(BearerPrefix.size()));
  }

  ControlListenerOptions Options_;
  std::vector<ControlRoute> Routes_;
  Endpoint Address_;
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> Unauthorized_ = 0;
  std::shared_ptr<Thread> Thread_ = std::make_shared<Thread>();
};

ControlListener::ControlListener(std::unique_ptr<Server> Running)
    : Server_(std::move(Running)) {}
ControlListener::~ControlListener() = default;
ControlListener::ControlListener(ControlListener &&) noexcept = default;
ControlListener &
ControlListener::operator=(ControlListener &&) noexcept = default;

Result<ControlListener>
ControlListener::create(ControlListenerOptions Options,
                        std::vector<ControlRoute> Routes) {
  auto Running =
      std::make_unique<Server>(std::move(Options), std::move(Routes));
  JAYBRIDGE_TRY_STATUS(Running->start());
  return ControlListener(std::move(Running));
}

const Endpoint &ControlListener::address() const { return Server_->address(); }
ControlListenerCounts ControlListener::counts() const {
  return Server_->counts();
}
void ControlListener::stop() { Server_->stop(); }

std::vector<ControlRoute> statusRoutes(std::function<std::string()> Metrics,
                                       std::function<bool()> IsReady) {
  ControlRoute Exposition{
      "GET", "/metrics", ControlAccess::Open,
      [Metrics = std::move(Metrics)](ControlRequest,
                                     const ControlReply &Reply) {
        Reply({StatusCode(200), MetricsContentType, Metrics()});
      }};
  ControlRoute Health{"GET", "/healthz", ControlAccess::Open,
                      [](ControlRequest, const ControlReply &Reply) {
                        Reply({StatusCode(200), "text/plain", "ok\n"});
                      }};
  ControlRoute Readiness{"GET", "/readyz", ControlAccess::Open,
                         [IsReady = std::move(IsReady)](
                             ControlRequest, const ControlReply &Reply) {
                           const bool Ready = IsReady();
                           Reply({StatusCode(Ready ? 200 : 503), "text/plain",
                                  Ready ? "ready\n" : "not ready\n"});
                         }};
  return {std::move(Exposition), std::move(Health), std::move(Readiness)};
}

} // namespace jaybridge
