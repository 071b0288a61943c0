#include <Daemon.h>
#include <ProcessStart.h>

namespace jaybridge {

namespace {

constexpr RingCapacity RoleRingCapacity(16384);
/// Time allowed for telling the fleet that this daemon leaves.
constexpr Duration LeaveTimeout = 3s;

Result<LedgerService> createLedger(const Settings &DaemonSettings) {
  ClaimCoordinatorSettings ClaimSettings;
  ClaimSettings.Self_ = DaemonSettings.Member_;
  ClaimSettings.Incarnation_ = Incarnation(startTimestampMs());
  ClaimSettings.Replicas_ = DaemonSettings.ControlMembers_;
  if (ClaimSettings.Replicas_.empty())
    ClaimSettings.Replicas_ = {DaemonSettings.Member_};
  JAYBRIDGE_TRY(ClaimCoordinator LocalClaims,
                ClaimCoordinator::create(std::move(ClaimSettings)));
  std::optional<LedgerReplica> Replica;
  if (DaemonSettings.DataFolder_) {
    JAYBRIDGE_TRY(Replica, LedgerReplica::create(LedgerLimits{}, wallNow()));
  }
  return LedgerService(std::move(LocalClaims), std::move(Replica));
}

} // namespace

Result<Daemon::Roles> Daemon::createRoles(const Settings &DaemonSettings) {
  std::unique_ptr<StorageThread> Storage;
  std::optional<ReplicatedLog> Log;
  if (DaemonSettings.DataFolder_) {
    JAYBRIDGE_TRY(
        Storage,
        StorageThread::open(
            *DaemonSettings.DataFolder_,
            FolderGeneration(Random(randomSeed(DaemonSettings, 1)).next())));
    ReplicationSettings Replication;
    Replication.Self_ = DaemonSettings.Member_;
    Replication.Members_ = DaemonSettings.ControlMembers_;
    JAYBRIDGE_TRY(Log, ReplicatedLog::create(
                           std::move(Replication), Storage->takeRecovered(),
                           randomSeed(DaemonSettings, 2), monotonicNow()));
  }
  JAYBRIDGE_TRY(LedgerService Ledger, createLedger(DaemonSettings));
  return Roles{std::move(Storage),
               ConfigurationRole(DaemonSettings.Member_,
                                 DaemonSettings.ControlMembers_,
                                 std::move(Log)),
               std::move(Ledger)};
}

Daemon::Daemon(const Settings &DaemonSettings, Roles InitialRoles)
    : Self_(DaemonSettings.Member_),
      Log_(DaemonSettings.LogLevel_, DaemonSettings.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      AnnouncementsRefused_(Metrics_.counter(
          MetricName("jaybridge_announcements_refused_total"))),
      AppliedVersionGauge_(
          Metrics_.gauge(MetricName("jaybridge_configuration_version"))),
      Storage_(std::move(InitialRoles.Storage_)),
      Configuration_(std::move(InitialRoles.Configuration_), RoleRingCapacity),
      Ledger_(std::move(InitialRoles.Ledger_), RoleRingCapacity),
      History_(HistoryService(DaemonSettings.Member_), RoleRingCapacity),
      Api_(operatorSinks()), Peers_(DaemonSettings.Member_, peerSinks()) {}

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY(Roles InitialRoles, createRoles(DaemonSettings));
  std::unique_ptr<Daemon> Created(
      new Daemon(DaemonSettings, std::move(InitialRoles)));
  JAYBRIDGE_TRY_STATUS(Created->start(DaemonSettings));
  return Created;
}

Daemon::~Daemon() { stop(); }

// Stops the threads in the order in which work passes through them. A thread
// that still runs can then post only to rings that are already closed.
void Daemon::stop() {
  AnnounceListener_.reset();
  OperatorListener_.reset();
  RequestPath_.reset();
  Peers_.stop();
  Probes_.reset();
  if (Authority_)
    Authority_->stop();
  if (Fleet_)
    Fleet_->stop();
  Configuration_.stop();
  if (Storage_)
    Storage_->stop();
  Ledger_.stop();
  History_.stop();
}

Status Daemon::start(const Settings &DaemonSettings) {
  startHistory();
  JAYBRIDGE_TRY_STATUS(startPeers(DaemonSettings));
  JAYBRIDGE_TRY_STATUS(startFleet(DaemonSettings));
  JAYBRIDGE_TRY_STATUS(startAuthority(DaemonSettings));
  RequestPathOptions PathOptions;
  PathOptions.Callers_ = callerListenerOptions(DaemonSettings);
  PathOptions.Upstreams_.AnswerLimit_ = DaemonSettings.AnswerLimit_;
  PathOptions.Gateway_.Self_ = DaemonSettings.Member_;
  PathOptions.Gateway_.Domain_ = DaemonSettings.Domain_;
  PathOptions.Gateway_.QueueCapacity_ =
      EventCount(DaemonSettings.QueueLimit_.value());
  PathOptions.Seed_ = randomSeed(DaemonSettings, 3);
  JAYBRIDGE_TRY(RequestPath_, RequestPath::create(PathOptions, requestSinks()));
  JAYBRIDGE_TRY_STATUS(startListeners(DaemonSettings));

  // The roles start last, because their effects use all components created
  // above.
  Peers_.beginDelivery();
  startLedger();
  startConfiguration();
  Fleet_->start([this](FleetEffect Effect) -> std::optional<FleetEvent> {
    deliver(std::move(Effect));
    return std::nullopt;
  });
  Authority_->start(
      [this](AuthorityEffect Effect) -> std::optional<AuthorityEvent> {
        deliver(std::move(Effect));
        return std::nullopt;
      });
  Log_.write(LogLevel::Info, "started",
             {{"callers", callerAddress().text()},
              {"announcements", announceAddress().text()},
              {"operators", operatorAddress().text()},
              {"peers", peerAddress().text()}});
  return success();
}

Status Daemon::startPeers(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY(AccessToken Token,
                AccessToken::readFile(DaemonSettings.PeerTokenFile_));
  PeerTransportOptions Options{.Token_ = std::move(Token)};
  Options.Member_ = DaemonSettings.Member_;
  Options.Address_ = DaemonSettings.PeerAddress_;
  // Peers cannot connect to port 0; the transport then advertises the bound
  // address.
  if (DaemonSettings.AdvertisedPeerAddress_.port() != Port(0))
    Options.AdvertisedAddress_ = DaemonSettings.AdvertisedPeerAddress_;
  return Peers_.start(std::move(Options));
}

Status Daemon::startFleet(const Settings &DaemonSettings) {
  MemberRecord OwnRecord;
  OwnRecord.Id_ = DaemonSettings.Member_;
  OwnRecord.Address_ = DaemonSettings.AdvertisedPeerAddress_.port() == Port(0)
                           ? Peers_.address()
                           : DaemonSettings.AdvertisedPeerAddress_;
  OwnRecord.Domain_ = DaemonSettings.Domain_;
  OwnRecord.IsControlMember_ = DaemonSettings.DataFolder_.has_value();
  OwnRecord.Incarnation_ = Incarnation(startTimestampMs());
  constexpr HomeCount HomesPerFailureDomain(1);
  JAYBRIDGE_TRY(Membership Members,
                Membership::create({OwnRecord, DaemonSettings.Seeds_,
                                    randomSeed(DaemonSettings, 4)}));
  JAYBRIDGE_TRY(InstanceDirectory Directory,
                InstanceDirectory::create(
                    {DaemonSettings.Member_, DaemonSettings.Domain_,
                     HomesPerFailureDomain, randomSeed(DaemonSettings, 5)}));
  JAYBRIDGE_TRY(ConfigurationDistributor Distributor,
                ConfigurationDistributor::create(
                    {DaemonSettings.Member_, DaemonSettings.Domain_,
                     randomSeed(DaemonSettings, 6)}));
  JAYBRIDGE_TRY(ServiceHomes Homes,
                ServiceHomes::create(HomesPerFailureDomain));
  HomeTable LocalHomes(DaemonSettings.Member_, DaemonSettings.Domain_,
                       std::move(Homes));
  LocalHomes.apply(OwnRecord, monotonicNow());
  Fleet_ = std::make_unique<EventLoopThread<FleetRole>>(
      FleetRole(std::move(Members), std::move(Directory),
                std::move(Distributor), std::move(LocalHomes)),
      RoleRingCapacity);
  return success();
}

Status Daemon::startAuthority(const Settings &DaemonSettings) {
  AuthorityServiceSettings Authority;
  Authority.Self_ = DaemonSettings.Member_;
  Authority.ControlMembers_ = DaemonSettings.ControlMembers_;
  Authority.WallTimeAtOrigin_ =
      wallNow() - std::chrono::duration_cast<std::chrono::milliseconds>(
                      monotonicNow().time_since_epoch());
  EvidenceReporterSettings Reporter;
  Reporter.Self_ = DaemonSettings.Member_;
  constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;
  Reporter.InitialReportNumber_ =
      ReportNumber(startTimestampMs() * MicrosecondsPerMillisecond);
  JAYBRIDGE_TRY(LeaseCandidate Candidate,
                LeaseCandidate::create(
                    {DaemonSettings.Member_, randomSeed(DaemonSettings, 7)}));
  std::optional<LeaseVoter> Voter;
  if (DaemonSettings.DataFolder_)
    Voter = LeaseVoter(FenceNumber(startTimestampMs()));
  Authority_ = std::make_unique<EventLoopThread<AuthorityService>>(
      AuthorityService(std::move(Authority),
                       EvidenceReporter(std::move(Reporter)),
                       std::move(Candidate), std::move(Voter)),
      RoleRingCapacity);
  JAYBRIDGE_TRY(
      Probes_,
      ProbeClient::create(DaemonSettings.Member_, [this](ProbeResult Finished) {
        post(*Authority_, std::move(Finished));
      }));
  return success();
}

Status Daemon::startListeners(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY(AccessToken AnnounceToken,
                AccessToken::readFile(DaemonSettings.AnnounceTokenFile_));
  JAYBRIDGE_TRY(AccessToken OperatorToken,
                AccessToken::readFile(DaemonSettings.OperatorTokenFile_));
  ControlRoute AnnounceRoute{
      "POST", "/announce", ControlAccess::TokenRequired,
      [this](ControlRequest HttpRequest, ControlReply Reply) {
        handleAnnouncement(HttpRequest, Reply);
      }};
  JAYBRIDGE_TRY(
      AnnounceListener_,
      ControlListener::create({.Address_ = DaemonSettings.AnnounceAddress_,
                               .Token_ = std::move(AnnounceToken)},
                              {std::move(AnnounceRoute)}));
  std::vector<ControlRoute> Routes = Api_.routes();
  for (ControlRoute &Route : statusRoutes([this] { return metricsText(); },
                                          [this] { return isReady(); }))
    Routes.push_back(std::move(Route));
  JAYBRIDGE_TRY(
      OperatorListener_,
      ControlListener::create({.Address_ = DaemonSettings.OperatorAddress_,
                               .Token_ = std::move(OperatorToken)},
                              std::move(Routes)));
  return success();
}

bool Daemon::drain(Duration Grace) {
  const TimePoint Now = monotonicNow();
  // At most a quarter of a short grace period goes to the leave.
  const Duration Leaving = std::min(LeaveTimeout, Grace / 4);
  const TimePoint Deadline = Now + Grace - Leaving - RequestPath::ExitReserve;
  IsDraining_ = true;
  Log_.write(LogLevel::Info, "draining",
             {{"grace_ms", std::to_string(Grace / 1ms)}});
  RequestPath_->announceDrain(Now, Deadline);
  bool IsComplete = RequestPath_->drain(Deadline);
  post(*Fleet_, LeaveRequested{});
  auto LeaveDone = LeaveDone_.get_future();
  bool IsFleetNotified =
      LeaveDone.wait_for(Leaving) == std::future_status::ready;
  Log_.write(LogLevel::Info, "drained",
             {{"complete", IsComplete ? "true" : "false"},
              {"left", IsFleetNotified ? "true" : "false"}});
  return IsComplete;
}

bool Daemon::isReady() const { return !IsDraining_ && AppliedVersion_ > 0; }

} // namespace jaybridge
