#include <Daemon.h>
#include <ProcessStart.h>

namespace jaybridge {

namespace {

constexpr RingCapacity ServiceRing(16384);
/// How long the fleet is told that this daemon leaves.
constexpr auto LeaveLimit = std::chrono::seconds(3);

Result<LedgerService> createLedger(const Settings &Given) {
  LedgerClaimsSettings Claims;
  Claims.Self_ = Given.Member_;
  Claims.Run_ = Incarnation(startNumber());
  Claims.Replicas_ = Given.ControlMembers_;
  if (Claims.Replicas_.empty())
    Claims.Replicas_ = {Given.Member_};
  JAYBRIDGE_TRY(LedgerClaims Own, LedgerClaims::create(std::move(Claims)));
  std::optional<LedgerReplica> Replica;
  if (Given.DataFolder_) {
    JAYBRIDGE_TRY(Replica, LedgerReplica::create(LedgerLimits{}, wallNow()));
  }
  return LedgerService(std::move(Own), std::move(Replica));
}

} // namespace

Result<Daemon::Roles> Daemon::createRoles(const Settings &Given) {
  std::unique_ptr<StorageThread> Storage;
  std::optional<ReplicatedLog> Log;
  if (Given.DataFolder_) {
    JAYBRIDGE_TRY(
        Storage,
        StorageThread::open(*Given.DataFolder_,
                            FolderGeneration(Random(seedOf(Given, 1)).next())));
    ReplicationSettings Replication;
    Replication.Self_ = Given.Member_;
    Replication.Members_ = Given.ControlMembers_;
    JAYBRIDGE_TRY(Log, ReplicatedLog::create(std::move(Replication),
                                             Storage->takeRecovered(),
                                             seedOf(Given, 2), monotonicNow()));
  }
  JAYBRIDGE_TRY(LedgerService Ledger, createLedger(Given));
  return Roles{
      std::move(Storage),
      ConfigurationRole(Given.Member_, Given.ControlMembers_, std::move(Log)),
      std::move(Ledger)};
}

Daemon::Daemon(const Settings &Given, Roles Hosted)
    : Self_(Given.Member_), Log_(Given.LogLevel_, Given.Member_),
      RingsFull_(Metrics_.counter(MetricName("jaybridge_rings_full_total"))),
      MessagesUnsent_(
          Metrics_.counter(MetricName("jaybridge_messages_unsent_total"))),
      AnnouncementsRefused_(Metrics_.counter(
          MetricName("jaybridge_announcements_refused_total"))),
      VersionInForce_(
          Metrics_.gauge(MetricName("jaybridge_configuration_version"))),
      Storage_(std::move(Hosted.Storage_)),
      Configuration_(std::move(Hosted.Configuration_), ServiceRing),
      Ledger_(std::move(Hosted.Ledger_), ServiceRing),
      History_(HistoryService(Given.Member_), ServiceRing),
      Api_(operatorOutlets()), Peers_(Given.Member_, peerSinks()) {}

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &Given) {
  JAYBRIDGE_TRY(Roles Hosted, createRoles(Given));
  std::unique_ptr<Daemon> Created(new Daemon(Given, std::move(Hosted)));
  JAYBRIDGE_TRY_STATUS(Created->start(Given));
  return Created;
}

Daemon::~Daemon() { stop(); }

// Threads end in the order in which work enters the process; each then only
// posts to closed rings.
void Daemon::stop() {
  Announcements_.reset();
  Operators_.reset();
  Requests_.reset();
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

Status Daemon::start(const Settings &Given) {
  startHistory();
  JAYBRIDGE_TRY_STATUS(startPeers(Given));
  JAYBRIDGE_TRY_STATUS(startFleet(Given));
  JAYBRIDGE_TRY_STATUS(startAuthority(Given));
  RequestPathOptions Path;
  Path.Callers_.Address_ = Given.CallerAddress_;
  Path.Callers_.Member_ = Given.Member_;
  Path.Callers_.StartedAt_ = wallNow();
  Path.Callers_.BodyLimit_ = Given.BodyLimit_;
  Path.Upstreams_.AnswerLimit_ = Given.AnswerLimit_;
  Path.Gateway_.Self_ = Given.Member_;
  Path.Gateway_.Domain_ = Given.Domain_;
  Path.Gateway_.QueueCapacity_ = EventCount(Given.QueueLimit_.value());
  Path.Seed_ = seedOf(Given, 3);
  JAYBRIDGE_TRY(Requests_, RequestPath::create(Path, requestOutlets()));
  JAYBRIDGE_TRY_STATUS(startListeners(Given));

  // The roles run only now, when everything that they reach exists.
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

Status Daemon::startPeers(const Settings &Given) {
  JAYBRIDGE_TRY(AccessToken Token, AccessToken::readFile(Given.PeerTokenFile_));
  PeerTransportOptions Options{.Token_ = std::move(Token)};
  Options.Member_ = Given.Member_;
  Options.Address_ = Given.PeerAddress_;
  // Port 0 is no address that peers could use; the bound one takes its place.
  if (Given.AdvertisedPeerAddress_.port() != Port(0))
    Options.Advertised_ = Given.AdvertisedPeerAddress_;
  return Peers_.start(std::move(Options));
}

Status Daemon::startFleet(const Settings &Given) {
  MemberRecord Own;
  Own.Id_ = Given.Member_;
  Own.Address_ = Given.AdvertisedPeerAddress_.port() == Port(0)
                     ? Peers_.address()
                     : Given.AdvertisedPeerAddress_;
  Own.Domain_ = Given.Domain_;
  Own.IsControlMember_ = Given.DataFolder_.has_value();
  Own.Version_ = Incarnation(startNumber());
  constexpr HomeCount HomesPerFailureDomain(1);
  JAYBRIDGE_TRY(Membership Members,
                Membership::create({Own, Given.Seeds_, seedOf(Given, 4)}));
  JAYBRIDGE_TRY(
      InstanceDirectory Directory,
      InstanceDirectory::create({Given.Member_, Given.Domain_,
                                 HomesPerFailureDomain, seedOf(Given, 5)}));
  JAYBRIDGE_TRY(ConfigurationSpread Spread,
                ConfigurationSpread::create(
                    {Given.Member_, Given.Domain_, seedOf(Given, 6)}));
  JAYBRIDGE_TRY(ServiceHomes Homes,
                ServiceHomes::create(HomesPerFailureDomain));
  HomeTable Table(Given.Member_, Given.Domain_, std::move(Homes));
  Table.apply(Own, monotonicNow());
  Fleet_ = std::make_unique<EventLoopThread<FleetRole>>(
      FleetRole(std::move(Members), std::move(Directory), std::move(Spread),
                std::move(Table)),
      ServiceRing);
  return success();
}

Status Daemon::startAuthority(const Settings &Given) {
  AuthorityServiceSettings Own;
  Own.Self_ = Given.Member_;
  Own.ControlMembers_ = Given.ControlMembers_;
  Own.WallAtZero_ =
      wallNow() - std::chrono::duration_cast<std::chrono::milliseconds>(
                      monotonicNow().time_since_epoch());
  EvidenceReporterSettings Reports;
  Reports.Self_ = Given.Member_;
  constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;
  Reports.FirstReport_ =
      ReportNumber(startNumber() * MicrosecondsPerMillisecond);
  JAYBRIDGE_TRY(LeaseCandidate Candidate,
                LeaseCandidate::create({Given.Member_, seedOf(Given, 7)}));
  std::optional<LeaseVoter> Voter;
  if (Given.DataFolder_)
    Voter = LeaseVoter(FenceNumber(startNumber()));
  Authority_ = std::make_unique<EventLoopThread<AuthorityService>>(
      AuthorityService(std::move(Own), EvidenceReporter(std::move(Reports)),
                       std::move(Candidate), std::move(Voter)),
      ServiceRing);
  JAYBRIDGE_TRY(Probes_,
                ProbeClient::create(Given.Member_, [this](ProbeFinished Ended) {
                  post(*Authority_, std::move(Ended));
                }));
  return success();
}

Status Daemon::startListeners(const Settings &Given) {
  JAYBRIDGE_TRY(AccessToken AnnounceToken,
                AccessToken::readFile(Given.AnnounceTokenFile_));
  JAYBRIDGE_TRY(AccessToken OperatorToken,
                AccessToken::readFile(Given.OperatorTokenFile_));
  ControlRoute Announce{"POST", "/announce", ControlAccess::TokenRequired,
                        [this](ControlRequest Asked, ControlReply Reply) {
                          announce(Asked, Reply);
                        }};
  JAYBRIDGE_TRY(Announcements_,
                ControlListener::create({.Address_ = Given.AnnounceAddress_,
                                         .Token_ = std::move(AnnounceToken)},
                                        {std::move(Announce)}));
  std::vector<ControlRoute> Routes = Api_.routes();
  for (ControlRoute &Route : statusRoutes([this] { return metricsText(); },
                                          [this] { return isReady(); }))
    Routes.push_back(std::move(Route));
  JAYBRIDGE_TRY(Operators_,
                ControlListener::create({.Address_ = Given.OperatorAddress_,
                                         .Token_ = std::move(OperatorToken)},
                                        std::move(Routes)));
  return success();
}

bool Daemon::drain(Duration Limit) {
  IsDraining_ = true;
  Log_.write(LogLevel::Info, "draining", {});
  bool IsComplete = Requests_->drain(Limit);
  post(*Fleet_, LeaveRequested{});
  auto Left = Left_.get_future();
  bool IsToldToFleet = Left.wait_for(LeaveLimit) == std::future_status::ready;
  Log_.write(LogLevel::Info, "drained",
             {{"complete", IsComplete ? "true" : "false"},
              {"left", IsToldToFleet ? "true" : "false"}});
  return IsComplete;
}

bool Daemon::isReady() const { return !IsDraining_ && Version_ > 0; }

} // namespace jaybridge
