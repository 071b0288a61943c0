#include <LibHTTP/ControlListener.h>

#include <LibHTTP/HeaderRules.h>
#include <LibHTTP/ProblemDocument.h>
#include <LibHTTP/ServerThread.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

namespace jaybridge {

namespace {

/// A handler that loses its reply must not hold the connection for ever.
constexpr auto HandlingLimit = std::chrono::seconds(60);
/// See CallerListener.cpp: bodies up to this multiple of the limit get a 413.
constexpr std::uint64_t ReadLimitFactor = 4;
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *PlainText = "text/plain; version=0.0.4; charset=utf-8";

ControlResponse problem(StatusCode Status, std::string Detail) {
  nlohmann::json Document = {{"type", "about:blank"},
                             {"title", reasonPhrase(Status)},
                             {"status", Status.value()},
                             {"detail", std::move(Detail)}};
  return {Status, ProblemContentType, Document.dump()};
}

bool isPathOf(const ControlRoute &Route, std::string_view Path) {
  return Route.Path_.ends_with('/') ? Path.starts_with(Route.Path_)
                                    : Path == Route.Path_;
}

ControlRequest readControlRequest(const restinio::request_handle_t &Received) {
  ControlRequest Read;
  const auto &Head = Received->header();
  Read.Method_ = Head.method().c_str();
  Read.Path_ = std::string(Head.path());
  Read.Query_ = std::string(Head.query());
  Head.for_each_field([&](const auto &Field) {
    Read.Headers_.push_back(Header{Field.name(), Field.value()});
  });
  Read.Body_ = Received->body();
  return Read;
}

void write(const restinio::request_handle_t &Received, ControlResponse Given) {
  try {
    auto Answered = Received->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(Given.Status_.value()),
        reasonPhrase(Given.Status_)));
    if (Given.Status_ == StatusCode(401))
      Answered.append_header("WWW-Authenticate", "Bearer");
    Answered.append_header("Content-Type", std::move(Given.ContentType_));
    for (Header &Each : Given.Headers_)
      Answered.append_header(std::move(Each.Name_), std::move(Each.Value_));
    Answered.set_body(std::move(Given.Body_));
    Answered.done();
  } catch (const std::exception &) {
    // RESTinio throws when the connection has been closed meanwhile, or for
    // the second answer to a request.
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
    Settings.handle_request_timeout(HandlingLimit)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                Options_.BodyLimit_.value() * ReadLimitFactor))
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
    ControlRequest Received = readControlRequest(Handle);
    auto Found = std::find_if(Routes_.begin(), Routes_.end(),
                              [&](const ControlRoute &Each) {
                                return Each.Method_ == Received.Method_ &&
                                       isPathOf(Each, Received.Path_);
                              });
    // Paths are not told apart for those without a token.
    if ((Found == Routes_.end() ||
         Found->Access_ == ControlAccess::TokenRequired) &&
        !isAuthorized(Received)) {
      Unauthorized_.fetch_add(1, std::memory_order_relaxed);
      write(Handle, problem(StatusCode(401), "a valid token is required"));
      return;
    }
    if (Found == Routes_.end()) {
      write(Handle, problem(StatusCode(404), "no such method and path"));
      return;
    }
    if (Received.Body_.size() > Options_.BodyLimit_.value()) {
      write(Handle, problem(StatusCode(413), "the body is too long"));
      return;
    }
    // The reply may outlive this listener; it then finds the thread gone.
    Found->Handler_(std::move(Received), [Running = std::weak_ptr(Thread_),
                                          Handle](ControlResponse Given) {
      if (auto Kept = Running.lock())
        Kept->post([Handle, Given = std::move(Given)]() mutable {
          write(Handle, std::move(Given));
        });
    });
  }

  bool isAuthorized(const ControlRequest &Received) const {
    if (!Options_.Token_)
      return true;
    const Header *Given = findHeader(Received.Headers_, "Authorization");
    if (!Given || !Given->Value_.starts_with(BearerPrefix))
      return false;
    return Options_.Token_->isEqualTo(
        std::string_view(Given->Value_).substr(BearerPrefix.size()));
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
  ControlRoute Exposition{"GET", "/metrics", ControlAccess::Open,
                          [Metrics = std::move(Metrics)](
                              ControlRequest, const ControlReply &Reply) {
                            Reply({StatusCode(200), PlainText, Metrics()});
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
