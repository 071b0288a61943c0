#include <GatewayDaemon.h>
#include <ProcessStart.h>

#include <LibRouting/StepName.h>
#include <Platform/ControlApi.h>
#include <Platform/HeaderNames.h>

namespace jaybridge {

namespace {

constexpr RingCapacity SubscriptionRing(4096);
/// Balancers ask about readiness once a second and act on the second miss.
constexpr Duration RotationTime = 2500ms;
/// After it, a request on a connection that is still open is refused: it might
/// not be finished in time.
constexpr Duration LateRequestTime = 500ms;
/// Kept back from the grace period for ending the process.
constexpr Duration ExitTime = 300ms;
/// Retries of a service that each gateway holds; the fleet replaces those that
/// it spends.
constexpr EventCount RetriesHeld(1);
/// Connections within a region open within a few milliseconds; one lost packet
/// is sent again after about 200 ms.
constexpr Duration ConnectLimit = 400ms;

FleetSubscriptionSettings subscriptionOf(const Settings &Given) {
  FleetSubscriptionSettings Own;
  Own.Domain_ = Given.Domain_;
  Own.Self_ = Given.PeerAddress_;
  Own.Seeds_ = RegistryPeers::seedsOf(Given);
  return Own;
}

const char *stateName(InstanceState State) {
  switch (State) {
  case InstanceState::Serving:
    return "serving";
  case InstanceState::Draining:
    return "draining";
  case InstanceState::Left:
    return "left";
  case InstanceState::Lapsed:
    return "lapsed";
  }
  return "unknown";
}

} // namespace

GatewayDaemon::GatewayDaemon(const Settings &Given, Subscription Following)
    : Log_(Given.LogLevel_, Given.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      AttemptTimes_(
          Metrics_.histogram(MetricName("jaybridge_attempt_seconds"))),
      Peers_(Given, peerSinks()),
      Following_(std::move(Following), SubscriptionRing) {}

PeerSinks GatewayDaemon::peerSinks() {
  PeerSinks Sinks;
  Sinks.Subscription_ = [this](MemberId From, SubscriptionMessage Message) {
    follow(SubscriptionReceived{std::move(From), std::move(Message)});
  };
  return Sinks;
}

Result<std::unique_ptr<GatewayDaemon>>
GatewayDaemon::create(const Settings &Given) {
  std::unique_ptr<GatewayDaemon> Created(new GatewayDaemon(
      Given, Subscription(subscriptionOf(Given), seedOf(Given, 1))));
  JAYBRIDGE_TRY_STATUS(Created->start(Given));
  return Created;
}

GatewayDaemon::~GatewayDaemon() {
  Status_.reset();
  Requests_.reset();
  Peers_.stop();
  Following_.stop();
}

Status GatewayDaemon::start(const Settings &Given) {
  JAYBRIDGE_TRY_STATUS(Peers_.start(Given));
  RequestPathOptions Path;
  Path.Callers_.Address_ = Given.CallerAddress_;
  Path.Callers_.Member_ = Given.Member_;
  Path.Callers_.StartedAt_ = wallNow();
  Path.Callers_.BodyLimit_ = Given.BodyLimit_;
  Path.Callers_.Dialect_ = platform::headerDialect();
  Path.Upstreams_.AnswerLimit_ = Given.AnswerLimit_;
  Path.Upstreams_.Dialect_ = platform::headerDialect();
  Path.Upstreams_.ReusesConnections_ = false;
  Path.Upstreams_.ConnectLimit_ = ConnectLimit;
  Path.Gateway_.Self_ = Given.Member_;
  Path.Gateway_.Domain_ = Given.Domain_;
  Path.Gateway_.QueueCapacity_ = EventCount(Given.QueueLimit_.value());
  Path.Gateway_.RetryBounds_ = {RetriesHeld, RetriesHeld, true};
  Path.Seed_ = seedOf(Given, 2);
  JAYBRIDGE_TRY(Requests_, RequestPath::create(Path, outlets()));
  std::vector<ControlRoute> Routes =
      statusRoutes([this] { return metricsText(); },
                   [this] { return !IsDraining_ && Version_ > 0; });
  Routes.push_back(platform::readinessRoute(
      [this] { return !IsDraining_ && Version_ > 0; }));
  JAYBRIDGE_TRY(Status_,
                ControlListener::create(
                    {.Address_ = Given.StatusAddress_, .Token_ = std::nullopt},
                    std::move(Routes)));
  Following_.start([this](FleetSubscriptionEffect Effect)
                       -> std::optional<FleetSubscriptionEvent> {
    deliver(std::move(Effect));
    return std::nullopt;
  });
  Peers_.beginDelivery();
  Log_.write(LogLevel::Info, "started",
             {{"duty", "gateway"},
              {"callers", callerAddress().text()},
              {"status", statusAddress().text()},
              {"peers", Peers_.address().text()},
              {"failure-domain", Given.Domain_.text()}});
  return success();
}

RequestPathOutlets GatewayDaemon::outlets() {
  RequestPathOutlets Outlets;
  // There are no keys, homes or forwarded requests in this duty.
  Outlets.Claim_ = [](const ClaimKey &) { return false; };
  Outlets.Release_ = [](const ReleaseKey &) { return false; };
  Outlets.Finish_ = [](const FinishKey &) { return false; };
  Outlets.Forward_ = [](const ForwardRequest &) { return false; };
  Outlets.CancelForward_ = [](const CancelForward &) {};
  Outlets.AnswerForward_ = [](const MemberId &, const AnswerCaller &) {};
  Outlets.Observe_ = [this](ObserveAttempt Seen) { observe(std::move(Seen)); };
  Outlets.RetrySpent_ = [this](RetrySpent Spent) { follow(std::move(Spent)); };
  Outlets.Record_ = [this](const RecordStep &Step) { record(Step); };
  Outlets.Received_ = [this](const Request &Received) {
    Log_.write(LogLevel::Info, "request",
               {{"id", Received.Id_.text()},
                {"step", "accepted"},
                {"caller-id",
                 Received.CallerId_ ? Received.CallerId_->text() : "none"},
                {"method", Received.Method_},
                {"target", Received.Target_}});
  };
  return Outlets;
}

void GatewayDaemon::record(const RecordStep &Step) {
  if (Step.Kind_ == StepKind::Received)
    return;
  Log_.write(LogLevel::Info, "request",
             {{"id", Step.Id_.text()},
              {"step", stepName(Step.Kind_)},
              {"service", Step.Service_.text()},
              {"instance", Step.Instance_.text()},
              {"detail", Step.Detail_},
              {"configuration", std::to_string(Step.Version_.value())}});
}

void GatewayDaemon::follow(FleetSubscriptionEvent Event) {
  if (!Following_.ring().tryPush(std::move(Event)))
    RingsFull_.add();
}

void GatewayDaemon::observe(ObserveAttempt Seen) {
  AttemptTimes_.add(Seen.Elapsed_);
  follow(std::move(Seen));
}

void GatewayDaemon::deliver(FleetSubscriptionEffect Effect) {
  std::visit(Overloaded{
                 [this](SendSubscription &Send) {
                   if (!Peers_.send(Send.To_, Send.Message_))
                     MessagesUnsent_.add();
                 },
                 [this](auto &Each) { apply(Each); },
             },
             Effect);
}

void GatewayDaemon::apply(RoutingChanged &Changed) {
  Version_ = Changed.Table_->version().value();
  Log_.write(LogLevel::Info, "configuration-in-force",
             {{"version", std::to_string(Version_)},
              {"routes", std::to_string(Changed.Table_->routeCount())}});
  Requests_->post(std::move(Changed));
}

void GatewayDaemon::apply(InstanceChanged &Changed) {
  const InstanceRecord &Record = Changed.Record_;
  Log_.write(LogLevel::Info, "instance",
             {{"instance", Record.Id_.text()},
              {"service", Record.Service_.text()},
              {"address", Record.Address_.text()},
              {"state", stateName(Record.State_)},
              {"start", std::to_string(Record.Version_.value())}});
  Requests_->post(std::move(Changed));
}

void GatewayDaemon::apply(EjectionsChanged &Changed) {
  std::string Named;
  for (const InstanceId &Each : Changed.Ejected_)
    Named += (Named.empty() ? "" : ",") + Each.text();
  Log_.writeStateChange(LogLevel::Info,
                        "suspects of " + Changed.Service_.text(), Named);
  Requests_->post(std::move(Changed));
}

void GatewayDaemon::apply(RetriesGranted &Granted) {
  for (const RetryCount &Each : Granted.Retries_)
    Log_.write(LogLevel::Info, "retries-granted",
               {{"service", Each.Service_.text()},
                {"retries", std::to_string(Each.Retries_.value())}});
  Requests_->post(std::move(Granted));
}

void GatewayDaemon::apply(const ContactChanged &Changed) {
  Log_.writeStateChange(LogLevel::Info, "control-member",
                        Changed.Member_ ? Changed.Member_->text() : "none");
}

std::string GatewayDaemon::metricsText() {
  const RequestPathCounts Counts = Requests_->counts();
  auto Set = [this](const char *Name, EventCount Value) {
    Metrics_.gauge(MetricName(Name))
        .set(GaugeValue(static_cast<double>(Value.value())));
  };
  Set("jaybridge_requests_answered", Counts.Answered_);
  Set("jaybridge_requests_refused_not_run", Counts.RefusedNotRun_);
  Set("jaybridge_requests_refused_ran", Counts.RefusedRan_);
  Set("jaybridge_requests_refused_unknown", Counts.RefusedUnknown_);
  Set("jaybridge_log_lines_dropped", Log_.droppedLineCount());
  Set("jaybridge_configuration_version", EventCount(Version_));
  return Metrics_.text();
}

bool GatewayDaemon::drain(Duration Grace) {
  const TimePoint EndsAt = monotonicNow() + Grace - ExitTime;
  IsDraining_ = true;
  Log_.write(LogLevel::Info, "draining", {});
  Requests_->closeAfterAnswers();
  std::this_thread::sleep_for(std::min(RotationTime, Grace / 2));
  Requests_->stopAccepting();
  std::this_thread::sleep_for(std::min(LateRequestTime, Grace / 10));
  const bool IsComplete =
      Requests_->drain(std::max(Duration::zero(), EndsAt - monotonicNow()));
  Log_.write(LogLevel::Info, "drained",
             {{"complete", IsComplete ? "true" : "false"}});
  return IsComplete;
}

void GatewayDaemon::noteReload() {
  Log_.write(LogLevel::Info, "settings-reloaded",
             {{"configuration", std::to_string(Version_)}});
}

} // namespace jaybridge
