#include <Daemon.h>

#include <AnnouncementReader.h>

namespace jaybridge {

namespace {

constexpr RingCapacity ServiceRing(16384);

Result<LedgerService> createLedger(const DaemonOptions &Options) {
  LedgerClaimsSettings Settings;
  Settings.Self_ = Options.Self_;
  Settings.Run_ = Incarnation(
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count()));
  Settings.Replicas_ = {Options.Self_};
  JAYBRIDGE_TRY(LedgerClaims Claims, LedgerClaims::create(Settings));
  JAYBRIDGE_TRY(LedgerReplica Replica,
                LedgerReplica::create(LedgerLimits{}, wallNow()));
  return LedgerService(std::move(Claims), std::move(Replica));
}

} // namespace

Daemon::Daemon(LedgerService Ledger)
    : Ledger_(std::move(Ledger), ServiceRing),
      History_(HistoryService(), ServiceRing), Api_(operatorOutlets()) {}

Daemon::~Daemon() {
  Announcements_.reset();
  Operators_.reset();
  Requests_.reset();
}

Result<std::unique_ptr<Daemon>> Daemon::create(DaemonOptions Options) {
  JAYBRIDGE_TRY(LedgerService Ledger, createLedger(Options));
  std::unique_ptr<Daemon> Created(new Daemon(std::move(Ledger)));
  JAYBRIDGE_TRY_STATUS(Created->start(Options));
  return Created;
}

Status Daemon::start(const DaemonOptions &Options) {
  History_.start([this](HistoryService::Effect Effect)
                     -> std::optional<HistoryService::Event> {
    std::visit([this](const auto &Found) { Api_.answer(Found); }, Effect);
    return std::nullopt;
  });
  Ledger_.start([this](LedgerService::Effect Effect)
                    -> std::optional<LedgerService::Event> {
    return std::visit(
        Overloaded{
            [](SendToReplica &Send) -> std::optional<LedgerService::Event> {
              return LedgerRequestReceived{Send.Replica_, Send.Message_,
                                           wallNow()};
            },
            [](SendToClaimant &Send) -> std::optional<LedgerService::Event> {
              return LedgerReplyReceived{Send.Claimant_, Send.Message_};
            },
            [this](
                ClaimSettled &Settled) -> std::optional<LedgerService::Event> {
              ClaimDecision Decision = ClaimGranted{};
              if (Settled.Answer_)
                Decision = *Settled.Answer_;
              Requests_->post(ClaimDecided{Settled.Request_, Decision});
              return std::nullopt;
            },
        },
        Effect);
  });
  RequestPathOptions Path;
  Path.Callers_.Address_ = Options.CallerAddress_;
  Path.Callers_.Member_ = Options.Self_;
  Path.Callers_.StartedAt_ = wallNow();
  Path.Gateway_.Self_ = Options.Self_;
  Path.Gateway_.Domain_ = Options.Domain_;
  Path.Seed_ = RandomSeed(
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count()));
  JAYBRIDGE_TRY(Requests_, RequestPath::create(Path, requestOutlets()));
  JAYBRIDGE_TRY(Announcements_,
                ControlListener::create(
                    {Options.AnnounceAddress_, Options.AnnounceToken_,
                     ByteCount(64UL * 1024)},
                    {{"POST", "/announce", ControlAccess::TokenRequired,
                      [this](ControlRequest Asked, ControlReply To) {
                        announce(Asked, To);
                      }}}));
  JAYBRIDGE_TRY(Operators_, ControlListener::create({Options.OperatorAddress_,
                                                     Options.OperatorToken_,
                                                     ByteCount(64UL * 1024)},
                                                    Api_.routes()));
  return success();
}

RequestPathOutlets Daemon::requestOutlets() {
  RequestPathOutlets Outlets;
  Outlets.Claim_ = [this](ClaimKey Asked) {
    return Ledger_.ring().tryPush(
        ClaimRequested{Asked.Request_->Id_, *Asked.Request_->Key_,
                       fingerprintOf(*Asked.Request_), Asked.Deadline_});
  };
  Outlets.Release_ = [this](ReleaseKey Asked) {
    return Ledger_.ring().tryPush(ReleaseRequested{Asked.Id_});
  };
  Outlets.Finish_ = [this](FinishKey Asked) {
    return Ledger_.ring().tryPush(FinishRequested{Asked.Id_, Asked.Answer_});
  };
  Outlets.Observe_ = [](ObserveAttempt) {};
  Outlets.Forward_ = [](ForwardRequest) { return false; };
  Outlets.CancelForward_ = [](CancelForward) {};
  Outlets.AnswerForward_ = [](MemberId, AnswerCaller) {};
  Outlets.Record_ = [this](RecordStep Step) {
    (void)History_.ring().tryPush(HistoryService::Event(std::move(Step)));
  };
  return Outlets;
}

OperatorOutlets Daemon::operatorOutlets() {
  OperatorOutlets Outlets;
  Outlets.Change_ = [this](ChangeAsked Asked) { return changeLocally(Asked); };
  Outlets.Catalog_ = [this](CatalogAsked Asked) {
    std::lock_guard Lock(CatalogMutex_);
    Api_.answer(CatalogAnswered{Asked.Query_, Catalog_.snapshotInForce()});
    return true;
  };
  Outlets.Audit_ = [this](AuditAsked Asked) {
    return History_.ring().tryPush(HistoryService::Event(std::move(Asked)));
  };
  Outlets.Trace_ = [this](TraceAsked Asked) {
    return History_.ring().tryPush(HistoryService::Event(std::move(Asked)));
  };
  return Outlets;
}

bool Daemon::changeLocally(const ChangeAsked &Asked) {
  std::lock_guard Lock(CatalogMutex_);
  auto Applied = Catalog_.apply(Asked.Change_);
  if (Applied)
    Requests_->post(CatalogChanged{Catalog_.version(), Catalog_.policies()});
  Api_.answer(ChangeAnswered{Asked.Query_, std::move(Applied)});
  return true;
}

void Daemon::announce(const ControlRequest &Asked, const ControlReply &Reply) {
  auto Read = readAnnouncement(Asked.Body_);
  if (!Read) {
    Reply({StatusCode(422), "text/plain", Read.error().Message_ + "\n"});
    return;
  }
  Requests_->post(InstanceChanged{Read.value().Record_});
  Reply({StatusCode(200), "application/json", "{}"});
}

} // namespace jaybridge
