#include <LibHTTP/ControlListener.h>

#include <LibHTTP/CallerServer.h>
#include <LibHTTP/HeaderRules.h>
#include <LibHTTP/ProblemDocument.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

namespace jaybridge {

namespace {

/// Bounds how long a connection stays open when a handler never replies.
constexpr Duration HandlingTimeout = 60s;
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

ControlRequest toControlRequest(const Request &Received) {
  const std::size_t Path =
      std::min(Received.Target_.find('?'), Received.Target_.size());
  const std::size_t Query = std::min(Path + 1, Received.Target_.size());
  return {Received.Method_, Received.Target_.substr(0, Path),
          Received.Target_.substr(Query), Received.Headers_, *Received.Body_};
}

Response toResponse(ControlResponse Content) {
  Response Converted{
      Content.Status_, std::move(Content.Headers_),
      std::make_shared<const std::string>(std::move(Content.Body_))};
  if (Content.Status_ == StatusCode(401))
    Converted.Headers_.push_back({"WWW-Authenticate", "Bearer"});
  Converted.Headers_.push_back(
      {"Content-Type", std::move(Content.ContentType_)});
  return Converted;
}

CallerListenerOptions serverOptions(const ControlListenerOptions &Options) {
  CallerListenerOptions Server;
  Server.Address_ = Options.Address_;
  Server.BodyLimit_ = Options.BodyLimit_;
  Server.ReceiveLimit_ = Options.ReceiveLimit_;
  Server.MaxConnections_ = Options.MaxConnections_;
  Server.AnswerTimeout_ = HandlingTimeout;
  // Paths are not services.
  Server.Dialect_.Addressing_ = ServiceAddressing::HostAndPath;
  Server.Dialect_.Deadline_.clear();
  return Server;
}

} // namespace

class ControlListener::Server {
public:
  Server(ControlListenerOptions Options, std::vector<ControlRoute> Routes)
      : Options_(std::move(Options)), Routes_(std::move(Routes)),
        Connections_(std::make_shared<CallerServer>(
            serverOptions(Options_),
            CallerListenerCallbacks{
                [this](const std::shared_ptr<const Request> &Received) {
                  onRequest(*Received);
                  return true;
                },
                [](const RequestId &) {}})) {
    std::stable_sort(Routes_.begin(), Routes_.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.Path_.size() > Right.Path_.size();
                     });
  }
  ~Server() { stop(); }

  Status start() { return Connections_->start(); }
  void stop() { Connections_->stop(); }
  const Endpoint &address() const { return Connections_->address(); }
  ControlListenerCounts counts() const {
    return {EventCount(Received_), EventCount(Unauthorized_)};
  }

private:
  void onRequest(const Request &Incoming) {
    Received_.fetch_add(1, std::memory_order_relaxed);
    // The reply function may outlive this listener; it then does nothing.
    const ControlReply Reply = [Weak = std::weak_ptr(Connections_),
                                Id = Incoming.Id_](ControlResponse Content) {
      if (auto Open = Weak.lock())
        Open->answer(Id, toResponse(std::move(Content)),
                     ConfigurationVersion());
    };
    ControlRequest Received = toControlRequest(Incoming);
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
      return Reply(
          problemResponse(StatusCode(401), "a valid token is required"));
    }
    if (Found == Routes_.end())
      return Reply(problemResponse(StatusCode(404), "no such method and path"));
    Found->Handler_(std::move(Received), Reply);
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
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> Unauthorized_ = 0;
  std::shared_ptr<CallerServer> Connections_;
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
