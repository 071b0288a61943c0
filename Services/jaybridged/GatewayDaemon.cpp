#include <ExplainRoute.h>
#include <GatewayDaemon.h>
#include <ProcessStart.h>

#include <LibRouting/StepName.h>
#include <Platform/ControlApi.h>
#include <Platform/HeaderNames.h>

namespace jaybridge {

namespace {

constexpr RingCapacity SubscriptionRingCapacity(4096);
/// The subscription has one document read at a time.
constexpr RingCapacity ReaderRingCapacity(1);
/// Balancers poll readiness once a second and remove a gateway after the second
/// failure.
constexpr Duration BalancerRemovalDelay = 2500ms;
/// Time after the listener has closed in which requests on open connections are
/// still served. Later ones are refused, as they might not finish in time.
constexpr Duration LateRequestGrace = 500ms;
/// Retries per service that each gateway holds; the control members replace
/// those that it spends.
constexpr EventCount RetriesPerService(1);
/// Time for which the status listener waits for an explanation. Its thread also
/// answers the readiness checks of balancers, one a second.
constexpr std::chrono::milliseconds ExplanationTimeout(250);
/// Connections within a region open within a few milliseconds; a lost packet is
/// retransmitted after about 200 ms.
constexpr Duration ConnectTimeout = 400ms;
/// State since the configuration in force: whether keys were refused.
constexpr const char *UnknownKeysSubject = "unknown-keys";

RegistrySubscriptionSettings
subscriptionSettings(const Settings &DaemonSettings) {
  RegistrySubscriptionSettings Subscription;
  Subscription.Domain_ = DaemonSettings.Domain_;
  Subscription.Self_ = DaemonSettings.PeerAddress_;
  Subscription.Seeds_ = RegistryPeers::seedIds(DaemonSettings);
  return Subscription;
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

GatewayDaemon::GatewayDaemon(const Settings &DaemonSettings,
                             RegistrySubscription Role)
    : Log_(DaemonSettings.LogLevel_, DaemonSettings.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      DocumentsRejected_(Metrics_.counter(
          MetricName("jaybridge_configurations_rejected_total"))),
      AttemptTimes_(
          Metrics_.histogram(MetricName("jaybridge_attempt_seconds"))),
      Peers_(DaemonSettings, peerSinks()),
      SubscriptionThread_(std::move(Role), SubscriptionRingCapacity),
      ReaderThread_(Reading(platform::ConfigurationReader(
                        [] { std::this_thread::yield(); })),
                    ReaderRingCapacity) {}

PeerSinks GatewayDaemon::peerSinks() {
  PeerSinks Sinks;
  Sinks.Subscription_ = [this](MemberId From, SubscriptionMessage Message) {
    postToSubscription(
        SubscriptionReceived{std::move(From), std::move(Message)});
  };
  Sinks.ConnectionLost_ = [this](const Endpoint &Address) {
    postToSubscription(
        MemberConnectionLost{RegistryPeers::memberIdOf(Address)});
  };
  return Sinks;
}

Result<std::unique_ptr<GatewayDaemon>>
GatewayDaemon::create(const Settings &DaemonSettings) {
  std::unique_ptr<GatewayDaemon> Created(new GatewayDaemon(
      DaemonSettings, RegistrySubscription(subscriptionSettings(DaemonSettings),
                                           randomSeed(DaemonSettings, 1))));
  JAYBRIDGE_TRY_STATUS(Created->start(DaemonSettings));
  return Created;
}

GatewayDaemon::~GatewayDaemon() {
  StatusListener_.reset();
  Peers_.stop();
  SubscriptionThread_.stop();
  ReaderThread_.stop();
  // Last, since the subscription passes its effects on to it.
  RequestPath_.reset();
}

Status GatewayDaemon::start(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY_STATUS(Peers_.start(DaemonSettings));
  RequestPathOptions PathOptions;
  PathOptions.Callers_ = callerListenerOptions(DaemonSettings);
  PathOptions.Callers_.Dialect_ = platform::headerDialect();
  PathOptions.Upstreams_.AnswerLimit_ = DaemonSettings.AnswerLimit_;
  PathOptions.Upstreams_.Dialect_ = platform::headerDialect();
  PathOptions.Upstreams_.ReusesConnections_ = false;
  PathOptions.Upstreams_.ConnectTimeout_ = ConnectTimeout;
  PathOptions.Gateway_.Self_ = DaemonSettings.Member_;
  PathOptions.Gateway_.Domain_ = DaemonSettings.Domain_;
  PathOptions.Gateway_.QueueCapacity_ =
      EventCount(DaemonSettings.QueueLimit_.value());
  PathOptions.Gateway_.RetryBounds_ = {RetriesPerService, RetriesPerService,
                                       true};
  PathOptions.Gateway_.Placement_ = DaemonSettings.Placement_;
  PathOptions.Seed_ = randomSeed(DaemonSettings, 2);
  JAYBRIDGE_TRY(RequestPath_, RequestPath::create(PathOptions, requestSinks()));
  std::vector<ControlRoute> Routes =
      statusRoutes([this] { return metricsText(); },
                   [this] { return !IsDraining_ && AppliedVersion_ > 0; });
  Routes.push_back(platform::readinessRoute(
      [this] { return !IsDraining_ && AppliedVersion_ > 0; }));
  Routes.push_back(explainRoute([this](std::shared_ptr<const Request> Asked,
                                       std::optional<TeamName> Team) {
    return RequestPath_->explain(std::move(Asked), std::move(Team),
                                 ExplanationTimeout);
  }));
  JAYBRIDGE_TRY(StatusListener_, ControlListener::create(
                                     {.Address_ = DaemonSettings.StatusAddress_,
                                      .Token_ = std::nullopt},
                                     std::move(Routes)));
  startThreads();
  Peers_.beginDelivery();
  Log_.write(LogLevel::Info, "started",
             {{"duty", "gateway"},
              {"callers", callerAddress().text()},
              {"status", statusAddress().text()},
              {"peers", Peers_.address().text()},
              {"failure-domain", DaemonSettings.Domain_.text()}});
  return success();
}

void GatewayDaemon::startThreads() {
  auto LogDelays = [this](const char *Thread) {
    return [this, Thread](LoopDelay Kind, Duration Delay) {
      Log_.write(LogLevel::Warning, "event-loop-delay",
                 {{"thread", Thread},
                  {"cause", loopDelayName(Kind)},
                  {"ms", std::to_string(Delay / 1ms)}});
    };
  };
  SubscriptionThread_.reportDelays(LogDelays("subscription"));
  ReaderThread_.reportDelays(LogDelays("configuration"));
  ReaderThread_.start([this](DocumentRead Read) -> std::optional<ReadDocument> {
    // Blocks while the ring is full: the subscription would wait forever for a
    // lost table. This cannot deadlock, because it never waits for this thread.
    (void)SubscriptionThread_.ring().push(std::move(Read));
    return std::nullopt;
  });
  SubscriptionThread_.start([this](RegistrySubscriptionEffect Effect)
                                -> std::optional<RegistrySubscriptionEvent> {
    deliver(std::move(Effect));
    return std::nullopt;
  });
}

RequestPathSinks GatewayDaemon::requestSinks() {
  RequestPathSinks Sinks;
  // A daemon with the gateway duty has no idempotency keys, homes or forwarded
  // requests.
  Sinks.Claim_ = [](const ClaimKey &) { return false; };
  Sinks.Release_ = [](const ReleaseKey &) { return false; };
  Sinks.Finish_ = [](const FinishKey &) { return false; };
  Sinks.Forward_ = [](const ForwardRequest &) { return false; };
  Sinks.CancelForward_ = [](const CancelForward &) {};
  Sinks.AnswerForward_ = [](const MemberId &, const AnswerCaller &) {};
  Sinks.Observe_ = [this](ReportAttempt Attempt) {
    observeAttempt(std::move(Attempt));
  };
  Sinks.Overdue_ = [this](ReportOverdue Overdue) {
    postToSubscription(std::move(Overdue));
  };
  Sinks.CapacityChanged_ = [this](const CapacityChanged &Changed) {
    Log_.writeStateChange(LogLevel::Info,
                          "capacity of " + Changed.Service_.text(),
                          Changed.IsShort_ ? "short" : "sufficient");
  };
  Sinks.RetrySpent_ = [this](ReportRetry Spent) {
    postToSubscription(std::move(Spent));
  };
  Sinks.TokensNeeded_ = [this](SendTokenRequest Needed) {
    postToSubscription(std::move(Needed));
  };
  Sinks.TeamRefusal_ = [this](const TeamRefusalChanged &Changed) {
    logTeamRefusal(Changed);
  };
  Sinks.LimiterCounts_ = [this](const TeamLimiterCounts &Counts) {
    setLimiterMetrics(Counts);
  };
  Sinks.Record_ = [this](const RecordStep &Step) { logRequestStep(Step); };
  Sinks.Received_ = [this](const Request &Received) {
    Log_.write(LogLevel::Info, "request",
               {{"id", Received.Id_.text()},
                {"step", "accepted"},
                {"caller-id",
                 Received.CallerId_ ? Received.CallerId_->text() : "none"},
                {"method", Received.Method_},
                {"target", Received.Target_}});
  };
  Sinks.ReceiveBudgetChanged_ = [this](bool IsShort) {
    Log_.writeStateChange(LogLevel::Warning, "receive-memory",
                          IsShort ? "short" : "free");
  };
  return Sinks;
}

void GatewayDaemon::logRequestStep(const RecordStep &Step) {
  if (Step.Kind_ == StepKind::Received)
    return;
  if (Step.Kind_ == StepKind::Refused &&
      Step.Detail_ == refusalReasonName(RefusalReason::Unauthorized))
    Log_.writeStateChange(LogLevel::Info, UnknownKeysSubject, "refused");
  Log_.write(LogLevel::Info, "request",
             {{"id", Step.Id_.text()},
              {"step", stepName(Step.Kind_)},
              {"service", Step.Service_.text()},
              {"instance", Step.Instance_.text()},
              {"detail", Step.Detail_},
              {"configuration", std::to_string(Step.Version_.value())}});
}

void GatewayDaemon::postToSubscription(RegistrySubscriptionEvent Event) {
  if (!SubscriptionThread_.ring().tryPush(std::move(Event)))
    RingsFull_.add();
}

void GatewayDaemon::observeAttempt(ReportAttempt Attempt) {
  AttemptTimes_.add(Attempt.Elapsed_);
  // The fingerprint shows which requests were equal, whoever sent them.
  if (isConnectionCut(Attempt.Result_))
    Log_.write(LogLevel::Info, "attempt-lost",
               {{"service", Attempt.Service_.text()},
                {"instance", Attempt.Instance_.text()},
                {"fingerprint", std::to_string(Attempt.Fingerprint_.value())}});
  postToSubscription(std::move(Attempt));
}

void GatewayDaemon::deliver(RegistrySubscriptionEffect Effect) {
  std::visit(Overloaded{
                 [this](SendSubscription &Send) {
                   if (!Peers_.send(Send.To_, Send.Message_))
                     MessagesUnsent_.add();
                 },
                 [this](ReadDocument &Request) {
                   // Empty whenever the subscription requests a table.
                   const bool IsQueued =
                       ReaderThread_.ring().tryPush(std::move(Request));
                   JAYBRIDGE_VERIFY(IsQueued);
                 },
                 [this](auto &Update) { apply(Update); },
             },
             Effect);
}

void GatewayDaemon::apply(RoutingChanged &Changed) {
  AppliedVersion_ = Changed.Table_->version().value();
  Log_.write(
      LogLevel::Info, "configuration-in-force",
      {{"version", std::to_string(AppliedVersion_)},
       {"routes", std::to_string(Changed.Table_->routeCount())},
       {"teams", std::to_string(Changed.Table_->teams().teams().size())}});
  Log_.writeStateChange(LogLevel::Info, UnknownKeysSubject, "none");
  RequestPath_->post(std::move(Changed));
}

void GatewayDaemon::apply(InstanceChanged &Changed) {
  const InstanceRecord &Record = Changed.Record_;
  Log_.write(LogLevel::Info, "instance",
             {{"instance", Record.Id_.text()},
              {"service", Record.Service_.text()},
              {"address", Record.Address_.text()},
              {"state", stateName(Record.State_)},
              {"start", std::to_string(Record.Version_.value())}});
  RequestPath_->post(std::move(Changed));
}

void GatewayDaemon::apply(EjectionsChanged &Changed) {
  std::string Names;
  for (const InstanceId &Instance : Changed.Ejected_)
    Names += (Names.empty() ? "" : ",") + Instance.text();
  Log_.writeStateChange(LogLevel::Info,
                        "suspects of " + Changed.Service_.text(), Names);
  RequestPath_->post(std::move(Changed));
}

void GatewayDaemon::apply(FingerprintsQuarantined &Changed) {
  Log_.write(LogLevel::Info, "crashing-requests",
             {{"suspected", fingerprintList(Changed.Suspected_)},
              {"quarantined", fingerprintList(Changed.Fingerprints_)}});
  RequestPath_->post(std::move(Changed));
}

void GatewayDaemon::apply(RetriesGranted &Granted) {
  for (const RetryCount &ServiceRetries : Granted.Retries_)
    Log_.write(LogLevel::Info, "retries-granted",
               {{"service", ServiceRetries.Service_.text()},
                {"retries", std::to_string(ServiceRetries.Retries_.value())}});
  RequestPath_->post(std::move(Granted));
}

void GatewayDaemon::apply(TokensGranted &Granted) {
  RequestPath_->post(std::move(Granted));
}

void GatewayDaemon::logTeamRefusal(const TeamRefusalChanged &Changed) {
  Log_.write(LogLevel::Info, "team-limit",
             {{"team", Changed.Team_.text()},
              {"refusing", Changed.IsRefusing_ ? "true" : "false"}});
}

void GatewayDaemon::setGauge(const std::string &Name, EventCount Value) {
  Metrics_.gauge(MetricName(Name))
      .set(GaugeValue(static_cast<double>(Value.value())));
}

void GatewayDaemon::setLimiterMetrics(const TeamLimiterCounts &Counts) {
  setGauge("jaybridge_team_tokens_granted", Counts.TokensGranted_);
  setGauge("jaybridge_team_tokens_returned", Counts.TokensReturned_);
  setGauge("jaybridge_team_requests_over_limit", Counts.OverLimit_);
  setGauge("jaybridge_team_requests_waited", Counts.Waited_);
}

void GatewayDaemon::apply(const ControlMemberChanged &Changed) {
  Log_.writeStateChange(LogLevel::Info, "control-member",
                        Changed.Member_ ? Changed.Member_->text() : "none");
  RequestPath_->post(ControlContactChanged{Changed.Member_.has_value()});
}

void GatewayDaemon::apply(const DocumentRejected &Rejected) {
  DocumentsRejected_.add();
  Log_.write(LogLevel::Error, "configuration-rejected",
             {{"version", std::to_string(Rejected.Version_.value())},
              {"reason", Rejected.Reason_.Message_}});
}

std::string GatewayDaemon::metricsText() {
  const RequestPathCounts Counts = RequestPath_->counts();
  setGauge("jaybridge_requests_answered", Counts.Answered_);
  setGauge("jaybridge_requests_refused_not_run", Counts.RefusedNotRun_);
  setGauge("jaybridge_requests_refused_ran", Counts.RefusedRan_);
  setGauge("jaybridge_requests_refused_unknown", Counts.RefusedUnknown_);
  setGauge("jaybridge_requests_refused_for_capacity",
           Counts.RefusedForCapacity_);
  setGauge("jaybridge_requests_refused_unauthorized",
           Counts.RefusedUnauthorized_);
  setGauge("jaybridge_log_lines_dropped", Log_.droppedLineCount());
  setGauge("jaybridge_configuration_version", EventCount(AppliedVersion_));
  for (const auto &[Name, Count] :
       callerMetrics(RequestPath_->callers().counts()))
    setGauge(Name, Count);
  const UpstreamClientCounts Upstreams = RequestPath_->upstreams().counts();
  setGauge("jaybridge_upstream_responses_misattributed",
           Upstreams.Misattributed_);
  setGauge("jaybridge_upstream_responses_malformed", Upstreams.Malformed_);
  setGauge("jaybridge_upstream_responses_too_large", Upstreams.TooLarge_);
  return Metrics_.text();
}

bool GatewayDaemon::drain(Duration Grace) {
  const TimePoint Now = monotonicNow();
  const TimePoint Deadline = Now + Grace - RequestPath::ExitReserve;
  const Duration Accepting = std::min(BalancerRemovalDelay, Grace / 2);
  const Duration Late = std::min(LateRequestGrace, Grace / 10);
  IsDraining_ = true;
  Log_.write(LogLevel::Info, "draining",
             {{"grace_ms", std::to_string(Grace / 1ms)}});
  RequestPath_->announceDrain(Now + Accepting + Late, Deadline);
  RequestPath_->closeAfterAnswers();
  std::this_thread::sleep_for(Accepting);
  RequestPath_->stopAccepting();
  std::this_thread::sleep_for(Late);
  const bool IsComplete = RequestPath_->drain(Deadline);
  Log_.write(LogLevel::Info, "drained",
             {{"complete", IsComplete ? "true" : "false"}});
  return IsComplete;
}

void GatewayDaemon::logReload() {
  Log_.write(LogLevel::Info, "settings-reloaded",
             {{"configuration", std::to_string(AppliedVersion_)}});
}

} // namespace jaybridge
