#include <ControlDaemon.h>
#include <ProcessStart.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr RingCapacity ControlRing(16384);
/// Whole configurations with tens of thousands of routes.
constexpr ByteCount DocumentLimit(32UL * 1024 * 1024);
/// Fewer heartbeats than within a rack, as bytes between failure domains are
/// dear; an election still ends well within the time that operators wait.
constexpr Duration LogHeartbeat = 200ms;
constexpr Duration LogElectionTimeout = 800ms;

ReplicationSettings replicationOf(const Settings &Given) {
  ReplicationSettings Own;
  Own.Self_ = RegistryPeers::memberIdOf(Given.PeerAddress_);
  Own.Members_ = RegistryPeers::seedsOf(Given);
  Own.Heartbeat_ = LogHeartbeat;
  Own.ElectionTimeout_ = LogElectionTimeout;
  // Only the seeds of the first start are known to all members.
  Own.MayForm_ =
      Given.IsFirstStart_ && std::find(Own.Members_.begin(), Own.Members_.end(),
                                       Own.Self_) != Own.Members_.end();
  return Own;
}

} // namespace

ControlDaemon::ControlDaemon(const Settings &Given,
                             std::unique_ptr<StorageThread> Storage,
                             Service Hosted, StoppedSink OnStopped)
    : Log_(Given.LogLevel_, Given.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      OnStopped_(std::move(OnStopped)), Storage_(std::move(Storage)),
      Peers_(Given, peerSinks()), Control_(std::move(Hosted), ControlRing),
      Api_([this](ControlEvent Asked) { return post(std::move(Asked)); }) {}

PeerSinks ControlDaemon::peerSinks() {
  PeerSinks Sinks;
  Sinks.Replication_ = [this](const MemberId &, ReplicationMessage Message) {
    post(std::move(Message));
  };
  Sinks.Subscription_ = [this](MemberId From, SubscriptionMessage Message) {
    post(SubscriptionReceived{std::move(From), std::move(Message)});
  };
  return Sinks;
}

Result<std::unique_ptr<ControlDaemon>>
ControlDaemon::create(const Settings &Given, StoppedSink OnStopped) {
  JAYBRIDGE_TRY(
      std::unique_ptr<StorageThread> Storage,
      StorageThread::open(*Given.DataFolder_,
                          FolderGeneration(Random(seedOf(Given, 1)).next())));
  JAYBRIDGE_TRY(ReplicatedLog Log,
                ReplicatedLog::create(replicationOf(Given),
                                      Storage->takeRecovered(),
                                      seedOf(Given, 2), monotonicNow()));
  ControlSettings Own;
  Own.Self_ = RegistryPeers::memberIdOf(Given.PeerAddress_);
  Own.Domain_ = Given.Domain_;
  std::unique_ptr<ControlDaemon> Created(new ControlDaemon(
      Given, std::move(Storage), Service(std::move(Own), std::move(Log)),
      std::move(OnStopped)));
  JAYBRIDGE_TRY_STATUS(Created->start(Given));
  return Created;
}

ControlDaemon::~ControlDaemon() {
  Listener_.reset();
  Peers_.stop();
  Control_.stop();
  Storage_->stop();
}

Status ControlDaemon::start(const Settings &Given) {
  JAYBRIDGE_TRY_STATUS(Peers_.start(Given));
  std::vector<ControlRoute> Routes = Api_.routes();
  for (ControlRoute &Each :
       statusRoutes([this] { return metricsText(); }, [] { return true; }))
    Routes.push_back(std::move(Each));
  std::optional<AccessToken> Token;
  if (!Given.HasOpenListeners_) {
    JAYBRIDGE_TRY(Token, AccessToken::readFile(Given.OperatorTokenFile_));
  }
  Api_.setPort(Given.OperatorAddress_.port());
  JAYBRIDGE_TRY(Listener_,
                ControlListener::create({.Address_ = Given.OperatorAddress_,
                                         .Token_ = std::move(Token),
                                         .BodyLimit_ = DocumentLimit},
                                        std::move(Routes)));
  Storage_->start([this](ReplicationEvent Ended) {
    // The log would wait for a lost outcome without end, and never waits for
    // this thread itself.
    if (auto *Synced = std::get_if<Persisted>(&Ended))
      (void)Control_.ring().push(ControlEvent(*Synced));
    else if (auto *Failed = std::get_if<PersistFailed>(&Ended))
      (void)Control_.ring().push(ControlEvent(std::move(*Failed)));
  });
  Control_.start(
      [this](ControlEffect Effect) { return deliver(std::move(Effect)); });
  Peers_.beginDelivery();
  Log_.write(LogLevel::Info, "started",
             {{"duty", "control"},
              {"control", controlAddress().text()},
              {"peers", Peers_.address().text()},
              {"failure-domain", Given.Domain_.text()},
              {"first-start", Given.IsFirstStart_ ? "true" : "false"}});
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
        Error{ErrorCode::Full, "the storage thread does not keep up", {}}};
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
          [this](const TellSubscribers &Told) {
            MessagesUnsent_.add(Peers_.sendToAll(Told.To_, Told.Message_));
          },
          [this](const ControlAnswered &Answered) { Api_.answer(Answered); },
          [this](const LeaderChanged &Changed) {
            Log_.write(
                LogLevel::Info, "leader",
                {{"member", Changed.Leader_ ? Changed.Leader_->text() : "none"},
                 {"term", std::to_string(Changed.Term_.value())}});
          },
          [this](const RegistryApplied &Applied) { record(Applied); },
          [this](const SuspectsChanged &Changed) {
            std::string Named;
            for (const InstanceId &Each : Changed.Suspects_)
              Named += (Named.empty() ? "" : ",") + Each.text();
            Log_.write(LogLevel::Info, "suspects", {{"instances", Named}});
          },
          [this](const MemberStopped &Stopped) { stop(Stopped); },
          [](const PersistLog &) {},
      },
      Effect);
  return std::nullopt;
}

void ControlDaemon::record(const RegistryApplied &Applied) {
  const std::string Revision = std::to_string(Applied.Revision_.value());
  std::visit(
      Overloaded{
          [&](const StoredDocument &Each) {
            Log_.write(LogLevel::Info, "configuration-accepted",
                       {{"revision", Revision},
                        {"version", std::to_string(Each.Version_.value())}});
          },
          [&](const DocumentDelta &Each) {
            Log_.write(LogLevel::Info, "configuration-accepted",
                       {{"revision", Revision},
                        {"version", std::to_string(Each.Version_.value())},
                        {"base", std::to_string(Each.Base_.value())}});
          },
          [&](const StoreInstance &Each) {
            Log_.write(
                LogLevel::Info, "instance-stored",
                {{"revision", Revision},
                 {"instance", Each.Record_.Id_.text()},
                 {"service", Each.Record_.Service_.text()},
                 {"address", Each.Record_.Address_.text()},
                 {"draining", Each.Record_.State_ == InstanceState::Draining
                                  ? "true"
                                  : "false"},
                 {"start", std::to_string(Each.Record_.Version_.value())}});
          },
          [&](const RemoveInstance &Each) {
            Log_.write(LogLevel::Info, "instance-removed",
                       {{"revision", Revision}, {"instance", Each.Id_.text()}});
          },
      },
      Applied.Command_);
}

void ControlDaemon::stop(const MemberStopped &Stopped) {
  Log_.write(LogLevel::Error, "control-member-stopped",
             {{"reason", Stopped.Reason_.Message_}});
  OnStopped_();
}

std::string ControlDaemon::metricsText() {
  const PeerTransportCounts Counts = Peers_.counts();
  auto Set = [this](const char *Name, EventCount Value) {
    Metrics_.gauge(MetricName(Name))
        .set(GaugeValue(static_cast<double>(Value.value())));
  };
  Set("jaybridge_peer_messages_sent", Counts.Sent_);
  Set("jaybridge_peer_messages_received", Counts.Received_);
  Set("jaybridge_peer_messages_expired", Counts.Expired_);
  Set("jaybridge_peer_messages_damaged", Peers_.damagedCount());
  Set("jaybridge_log_lines_dropped", Log_.droppedLineCount());
  return Metrics_.text();
}

void ControlDaemon::noteReload() {
  Log_.write(LogLevel::Info, "settings-reloaded", {});
}

} // namespace jaybridge
