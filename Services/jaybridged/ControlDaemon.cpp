#include <ControlDaemon.h>
#include <ProcessStart.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr RingCapacity ControlRingCapacity(16384);
/// Reports of attempts are dropped while this many events wait, since operators
/// and instances wait for the events behind them. A failure that lasts shows in
/// later reports, too.
constexpr RingCapacity EvidenceBacklog(256);
/// Fits a complete configuration document with tens of thousands of routes.
constexpr ByteCount MaxDocumentSize(32UL * 1024 * 1024);
/// Bytes of all calls together that are not answered yet: a quarter of the
/// memory of a small control member, and more than the greatest document.
constexpr ByteCount ReceiveLimit(64UL * 1024 * 1024);
/// Longer than is usual within a rack, because traffic between failure domains
/// is expensive. An election still ends well within the time that operators
/// wait.
constexpr Duration LogHeartbeatInterval = 200ms;
constexpr Duration LogElectionTimeout = 800ms;

ReplicationSettings replicationSettings(const Settings &DaemonSettings) {
  ReplicationSettings Replication;
  Replication.Self_ = RegistryPeers::memberIdOf(DaemonSettings.PeerAddress_);
  Replication.Members_ = RegistryPeers::seedIds(DaemonSettings);
  Replication.HeartbeatInterval_ = LogHeartbeatInterval;
  Replication.ElectionTimeout_ = LogElectionTimeout;
  // All members know the same seeds only at the first start, so that a log may
  // be formed only then.
  Replication.CanFormLog_ =
      DaemonSettings.IsFirstStart_ &&
      std::find(Replication.Members_.begin(), Replication.Members_.end(),
                Replication.Self_) != Replication.Members_.end();
  return Replication;
}

} // namespace

ControlDaemon::ControlDaemon(const Settings &DaemonSettings,
                             std::unique_ptr<StorageThread> Storage,
                             Service Role, StoppedSink OnStopped)
    : Log_(DaemonSettings.LogLevel_, DaemonSettings.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      ReportsDropped_(
          Metrics_.counter(MetricName("jaybridge_reports_dropped_total"))),
      OnStopped_(std::move(OnStopped)), Storage_(std::move(Storage)),
      Peers_(DaemonSettings, peerSinks()),
      Control_(std::move(Role), ControlRingCapacity),
      Api_([this](ControlEvent Event) { return post(std::move(Event)); }) {}

PeerSinks ControlDaemon::peerSinks() {
  PeerSinks Sinks;
  Sinks.Replication_ = [this](const MemberId &, ReplicationMessage Message) {
    post(std::move(Message));
  };
  Sinks.Subscription_ = [this](MemberId From, SubscriptionMessage Message) {
    const bool IsEvidence = std::holds_alternative<AttemptReport>(Message) ||
                            std::holds_alternative<FollowerReport>(Message);
    ControlEvent Event =
        SubscriptionReceived{std::move(From), std::move(Message)};
    if (!IsEvidence)
      post(std::move(Event));
    else if (!Control_.ring().tryPush(Event, EvidenceBacklog))
      ReportsDropped_.add();
  };
  return Sinks;
}

Result<std::unique_ptr<ControlDaemon>>
ControlDaemon::create(const Settings &DaemonSettings, StoppedSink OnStopped) {
  JAYBRIDGE_TRY(
      std::unique_ptr<StorageThread> Storage,
      StorageThread::open(
          *DaemonSettings.DataFolder_,
          FolderGeneration(Random(randomSeed(DaemonSettings, 1)).next())));
  JAYBRIDGE_TRY(ReplicatedLog Log,
                ReplicatedLog::create(replicationSettings(DaemonSettings),
                                      Storage->takeRecovered(),
                                      randomSeed(DaemonSettings, 2),
                                      monotonicNow()));
  ControlSettings Control;
  // 28 bits keep the messages short.
  Control.FirstTokenRound_ =
      TokenRound(Random(randomSeed(DaemonSettings, 3)).next() >> 36);
  Control.Self_ = RegistryPeers::memberIdOf(DaemonSettings.PeerAddress_);
  Control.Domain_ = DaemonSettings.Domain_;
  Control.RetryAllowance_ = DaemonSettings.RetryAllowance_;
  std::unique_ptr<ControlDaemon> Created(new ControlDaemon(
      DaemonSettings, std::move(Storage),
      Service(std::move(Control), std::move(Log)), std::move(OnStopped)));
  JAYBRIDGE_TRY_STATUS(Created->start(DaemonSettings));
  return Created;
}

ControlDaemon::~ControlDaemon() {
  Listener_.reset();
  Peers_.stop();
  Control_.stop();
  Storage_->stop();
}

Status ControlDaemon::start(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY_STATUS(Peers_.start(DaemonSettings));
  std::vector<ControlRoute> Routes = Api_.routes();
  for (ControlRoute &Route :
       statusRoutes([this] { return metricsText(); }, [] { return true; }))
    Routes.push_back(std::move(Route));
  std::optional<AccessToken> Token;
  if (!DaemonSettings.HasOpenListeners_) {
    JAYBRIDGE_TRY(Token,
                  AccessToken::readFile(DaemonSettings.OperatorTokenFile_));
  }
  Api_.setPort(DaemonSettings.OperatorAddress_.port());
  JAYBRIDGE_TRY(Listener_, ControlListener::create(
                               {.Address_ = DaemonSettings.OperatorAddress_,
                                .Token_ = std::move(Token),
                                .BodyLimit_ = MaxDocumentSize,
                                .ReceiveLimit_ = ReceiveLimit},
                               std::move(Routes)));
  Storage_->start([this](ReplicationEvent Event) {
    // Blocks while the ring is full: the log would wait forever for a lost
    // result. This cannot deadlock, because the role never waits for the
    // storage thread.
    if (auto *Synced = std::get_if<Persisted>(&Event))
      (void)Control_.ring().push(ControlEvent(*Synced));
    else if (auto *Failed = std::get_if<PersistFailed>(&Event))
      (void)Control_.ring().push(ControlEvent(std::move(*Failed)));
  });
  Control_.reportDelays([this](LoopDelay Kind, Duration Delay) {
    Log_.write(LogLevel::Warning, "event-loop-delay",
               {{"thread", "control"},
                {"cause", loopDelayName(Kind)},
                {"ms", std::to_string(Delay / 1ms)}});
  });
  Control_.start(
      [this](ControlEffect Effect) { return deliver(std::move(Effect)); });
  Peers_.beginDelivery();
  Log_.write(
      LogLevel::Info, "started",
      {{"duty", "control"},
       {"control", controlAddress().text()},
       {"peers", Peers_.address().text()},
       {"failure-domain", DaemonSettings.Domain_.text()},
       {"first-start", DaemonSettings.IsFirstStart_ ? "true" : "false"}});
  return success();
}

bool ControlDaemon::post(ControlEvent Event) {
  if (Control_.ring().tryPush(Event))
    return true;
  RingsFull_.add();
  return false;
}

std::optional<ControlEvent> ControlDaemon::deliver(ControlEffect Effect) {
  if (auto *Write = std::get_if<PersistLog>(&Effect)) {
    if (Storage_->write(std::move(*Write)))
      return std::nullopt;
    RingsFull_.add();
    return PersistFailed{
        Error{ErrorCode::Full, "the queue of the storage thread is full", {}}};
  }
  std::visit(
      Overloaded{
          [this](const SendReplication &Send) {
            if (!Peers_.send(Send.To_, Send.Message_))
              MessagesUnsent_.add();
          },
          [this](const SendSubscription &Send) {
            if (!Peers_.send(Send.To_, Send.Message_))
              MessagesUnsent_.add();
          },
          [this](const NotifySubscribers &Broadcast) {
            MessagesUnsent_.add(
                Peers_.sendToAll(Broadcast.To_, Broadcast.Message_));
          },
          [this](const ControlRequestAnswered &Answered) {
            Api_.answer(Answered);
          },
          [this](const LeaderChanged &Changed) {
            Api_.setOtherLeader(Changed.Leader_ == Peers_.self()
                                    ? std::nullopt
                                    : Changed.Leader_);
            Log_.write(
                LogLevel::Info, "leader",
                {{"member", Changed.Leader_ ? Changed.Leader_->text() : "none"},
                 {"term", std::to_string(Changed.Term_.value())}});
          },
          [this](const RegistryCommandApplied &Applied) {
            logRegistryChange(Applied);
          },
          [this](const EjectedInstancesChanged &Changed) {
            std::string Names;
            for (const InstanceId &Instance : Changed.EjectedInstances_)
              Names += (Names.empty() ? "" : ",") + Instance.text();
            Log_.write(LogLevel::Info, "suspects", {{"instances", Names}});
          },
          [this](const RequestVerdictsChanged &Changed) {
            Log_.write(
                LogLevel::Info, "crashing-requests",
                {{"suspected", fingerprintList(Changed.Verdicts_.Suspected_)},
                 {"quarantined",
                  fingerprintList(Changed.Verdicts_.Quarantined_)}});
          },
          [this](const MemberStopped &Stopped) { handleStopped(Stopped); },
          [](const PersistLog &) {},
      },
      Effect);
  return std::nullopt;
}

void ControlDaemon::logRegistryChange(const RegistryCommandApplied &Applied) {
  const std::string Revision = std::to_string(Applied.Revision_.value());
  std::visit(
      Overloaded{
          [&](const StoredDocument &Command) {
            Log_.write(LogLevel::Info, "configuration-accepted",
                       {{"revision", Revision},
                        {"version", std::to_string(Command.Version_.value())}});
          },
          [&](const DocumentDelta &Command) {
            Log_.write(LogLevel::Info, "configuration-accepted",
                       {{"revision", Revision},
                        {"version", std::to_string(Command.Version_.value())},
                        {"base", std::to_string(Command.Base_.value())}});
          },
          [&](const StoreInstance &Command) {
            Log_.write(
                LogLevel::Info, "instance-stored",
                {{"revision", Revision},
                 {"instance", Command.Record_.Id_.text()},
                 {"service", Command.Record_.Service_.text()},
                 {"address", Command.Record_.Address_.text()},
                 {"draining", Command.Record_.State_ == InstanceState::Draining
                                  ? "true"
                                  : "false"},
                 {"start", std::to_string(Command.Record_.Version_.value())}});
          },
          [&](const RemoveInstance &Command) {
            Log_.write(
                LogLevel::Info, "instance-removed",
                {{"revision", Revision}, {"instance", Command.Id_.text()}});
          },
      },
      Applied.Command_);
}

void ControlDaemon::handleStopped(const MemberStopped &Stopped) {
  Log_.write(LogLevel::Error, "control-member-stopped",
             {{"reason", Stopped.Reason_.Message_}});
  OnStopped_();
}

std::string ControlDaemon::metricsText() {
  const PeerTransportCounts PeerCounts = Peers_.counts();
  auto Set = [this](const char *Name, EventCount Value) {
    Metrics_.gauge(MetricName(Name))
        .set(GaugeValue(static_cast<double>(Value.value())));
  };
  Set("jaybridge_peer_messages_sent", PeerCounts.Sent_);
  Set("jaybridge_peer_messages_received", PeerCounts.Received_);
  Set("jaybridge_peer_messages_expired", PeerCounts.Expired_);
  Set("jaybridge_peer_messages_damaged", Peers_.damagedCount());
  Set("jaybridge_log_lines_dropped", Log_.droppedLineCount());
  return Metrics_.text();
}

void ControlDaemon::logReload() {
  Log_.write(LogLevel::Info, "settings-reloaded", {});
}

} // namespace jaybridge
