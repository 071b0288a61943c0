#include <LibControl/AuthorityService.h>

#include <sstream>

namespace jaybridge {

namespace {

const char *decisionName(EjectionDecisionKind Kind) {
  switch (Kind) {
  case EjectionDecisionKind::Ejected:
    return "ejected";
  case EjectionDecisionKind::EjectedAgain:
    return "ejected again";
  case EjectionDecisionKind::ReturnStageStarted:
    return "returning";
  case EjectionDecisionKind::Reinstated:
    return "reinstated";
  case EjectionDecisionKind::WithheldForFloor:
    return "kept for the floor";
  case EjectionDecisionKind::ReinstatedForFloor:
    return "reinstated for the floor";
  }
  return "ejected";
}

AuditKind auditKindFor(EjectionDecisionKind Kind) {
  switch (Kind) {
  case EjectionDecisionKind::Ejected:
  case EjectionDecisionKind::EjectedAgain:
    return AuditKind::InstanceEjected;
  case EjectionDecisionKind::WithheldForFloor:
    return AuditKind::EjectionWithheld;
  default:
    return AuditKind::InstanceReturned;
  }
}

std::string describe(const EjectionDecision &Decision) {
  std::ostringstream Text;
  Text << Decision.Instance_.text() << " " << decisionName(Decision.Kind_)
       << ": failure " << Decision.Score_.Failure_.value() << ", slowness "
       << Decision.Score_.Slowness_.value() << ", threshold "
       << Decision.Threshold_.value() << "; good "
       << Decision.Observations_.Good_.value() << ", failed "
       << Decision.Observations_.Failed_.value() << ", slow "
       << Decision.Observations_.Slow_.value() << " of "
       << Decision.Observations_.Slow_.value() +
              Decision.Observations_.Fast_.value()
       << ", gateways " << Decision.GatewayCount_.value() << "; ejected "
       << Decision.EjectedCount_.value() << " of "
       << Decision.PermittedCount_.value() << " permitted";
  return Text.str();
}

} // namespace

AuthorityService::AuthorityService(AuthorityServiceSettings Settings,
                                   EvidenceReporter Reporter,
                                   LeaseCandidate Candidate,
                                   std::optional<LeaseVoter> Voter)
    : Settings_(std::move(Settings)), Reporter_(std::move(Reporter)),
      Candidate_(std::move(Candidate)), Voter_(std::move(Voter)) {
  Candidate_.handle(VotersChanged{Settings_.ControlMembers_}, TimePoint(),
                    CandidateEffects_);
}

void AuthorityService::handle(const Event &Incoming, TimePoint Now,
                              Effects &Out) {
  std::visit([&](const auto &Event) { handleEvent(Event, Now, Out); },
             Incoming);
  processEffects(Now, Out);
}

void AuthorityService::advance(TimePoint Now, Effects &Out) {
  Reporter_.advance(Now, ReporterEffects_);
  Candidate_.advance(Now, CandidateEffects_);
  if (Voter_)
    Voter_->advance(Now, VoterEffects_);
  for (auto &[Service, Authority] : Authorities_) {
    std::vector<EjectionAuthority::Effect> AuthorityEffects;
    Authority.advance(Now, AuthorityEffects);
    applyAuthorityEffects(Service, AuthorityEffects, Now, Out);
  }
  processEffects(Now, Out);
}

std::optional<TimePoint> AuthorityService::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  auto UpdateEarliest = [&](std::optional<TimePoint> Due) {
    if (Due && (!Earliest || *Due < *Earliest))
      Earliest = Due;
  };
  UpdateEarliest(Reporter_.nextDeadline());
  UpdateEarliest(Candidate_.nextDeadline());
  if (Voter_)
    UpdateEarliest(Voter_->nextDeadline());
  for (const auto &[Service, Authority] : Authorities_)
    UpdateEarliest(Authority.nextDeadline());
  return Earliest;
}

void AuthorityService::handleEvent(const AttemptObserved &Observed,
                                   TimePoint Now, Effects &) {
  Reporter_.handle(Observed, Now, ReporterEffects_);
}

void AuthorityService::handleEvent(const FromMember<EvidenceReport> &Received,
                                   TimePoint Now, Effects &Out) {
  passToAuthority(Received.Message_.Service_, Received.Message_, Now, Out);
}

void AuthorityService::handleEvent(const FromMember<EjectionList> &Received,
                                   TimePoint Now, Effects &) {
  Finder_.recordAnswer(Received.Message_.Service_, Received.From_, Now);
  Reporter_.handle(EjectionListReceived{Received.Message_}, Now,
                   ReporterEffects_);
}

void AuthorityService::handleEvent(const FromMember<LeaseMessage> &Received,
                                   TimePoint Now, Effects &) {
  if (!std::holds_alternative<LeaseAnswer>(Received.Message_)) {
    if (Voter_)
      Voter_->handle(Received, Now, VoterEffects_);
    return;
  }
  Candidate_.handle(Received, Now, CandidateEffects_);
}

void AuthorityService::handleEvent(const MemberChanged &Changed, TimePoint Now,
                                   Effects &) {
  Candidate_.handle(Changed, Now, CandidateEffects_);
}

void AuthorityService::handleEvent(const InstanceUpdated &Updated,
                                   TimePoint Now, Effects &Out) {
  const InstanceRecord &Record = Updated.Record_;
  auto &Pool = Instances_[Record.Service_];
  if (Record.State_ == InstanceState::Serving)
    Pool[Record.Id_] = Record;
  else
    Pool.erase(Record.Id_);
  updatePool(Record.Service_, Now, Out);
}

void AuthorityService::handleEvent(const CatalogApplied &Applied, TimePoint Now,
                                   Effects &Out) {
  ServicesChanged Changed;
  for (const ServicePolicy &Policy : Applied.Policies_) {
    Policies_.insert_or_assign(Policy.Service_, Policy);
    Changed.Services_.push_back(Policy.Service_);
    updatePool(Policy.Service_, Now, Out);
  }
  Candidate_.handle(Changed, Now, CandidateEffects_);
}

void AuthorityService::handleEvent(const ProbeResult &Probe, TimePoint Now,
                                   Effects &Out) {
  passToAuthority(Probe.Service_,
                  ProbeCompleted{Probe.Instance_, Probe.IsHealthy_}, Now, Out);
}

void AuthorityService::passToAuthority(
    const ServiceName &Service, const EjectionAuthority::Event &Forwarded,
    TimePoint Now, Effects &Out) {
  auto Found = Authorities_.find(Service);
  if (Found == Authorities_.end())
    return;
  std::vector<EjectionAuthority::Effect> AuthorityEffects;
  Found->second.handle(Forwarded, Now, AuthorityEffects);
  applyAuthorityEffects(Service, AuthorityEffects, Now, Out);
}

void AuthorityService::updatePool(const ServiceName &Service, TimePoint Now,
                                  Effects &Out) {
  auto Policy = Policies_.find(Service);
  if (Policy == Policies_.end() || !Authorities_.contains(Service))
    return;
  PoolChanged Pool{Policy->second, {}};
  for (const auto &[Id, Record] : Instances_[Service])
    Pool.Instances_.push_back(Record);
  passToAuthority(Service, Pool, Now, Out);
}

void AuthorityService::processEffects(TimePoint Now, Effects &Out) {
  auto ApplyAll = [&](auto &Pending) {
    std::decay_t<decltype(Pending)> Batch;
    Batch.swap(Pending);
    for (auto &Next : Batch)
      std::visit([&](auto &Effect) { apply(Effect, Now, Out); }, Next);
  };
  while (!ReporterEffects_.empty() || !CandidateEffects_.empty() ||
         !VoterEffects_.empty()) {
    ApplyAll(ReporterEffects_);
    ApplyAll(CandidateEffects_);
    ApplyAll(VoterEffects_);
  }
}

void AuthorityService::apply(SendEvidenceReport &Send, TimePoint Now,
                             Effects &Out) {
  const ServiceName &Service = Send.Report_.Service_;
  if (auto Target =
          Finder_.reportTarget(Service, Candidate_.candidatesFor(Service), Now))
    Out.emplace_back(SendToMember<EvidenceReport>{std::move(*Target),
                                                  std::move(Send.Report_)});
}

void AuthorityService::apply(EjectionListChanged &Changed, TimePoint,
                             Effects &Out) {
  Out.emplace_back(std::move(Changed));
}

void AuthorityService::apply(QuarantineListChanged &Changed, TimePoint,
                             Effects &Out) {
  Out.emplace_back(std::move(Changed));
}

void AuthorityService::apply(SendToMember<LeaseMessage> &Send, TimePoint,
                             Effects &Out) {
  Out.emplace_back(std::move(Send));
}

void AuthorityService::apply(LeaseHeld &Held, TimePoint Now, Effects &Out) {
  Authorities_.try_emplace(Held.Service_, Held.Service_);
  FenceNumber &Fence = Fences_[Held.Service_];
  if (Fence != Held.Fence_) {
    Fence = Held.Fence_;
    Out.emplace_back(makeAuditEntry(Held, Now));
    updatePool(Held.Service_, Now, Out);
  }
  passToAuthority(Held.Service_, AuthorityGranted{Held.Fence_, Held.Until_},
                  Now, Out);
}

void AuthorityService::apply(LeaseLost &Lost, TimePoint Now, Effects &Out) {
  passToAuthority(Lost.Service_, AuthorityLost{}, Now, Out);
}

void AuthorityService::applyAuthorityEffects(
    const ServiceName &Service,
    std::vector<EjectionAuthority::Effect> &AuthorityEffects, TimePoint Now,
    Effects &Out) {
  for (EjectionAuthority::Effect &Effect : AuthorityEffects)
    std::visit(Overloaded{
                   [&](EjectionList &List) {
                     MemberId To = List.Gateway_;
                     Out.emplace_back(SendToMember<EjectionList>{
                         std::move(To), std::move(List)});
                   },
                   [&](ProbeInstance &Probe) {
                     Out.emplace_back(ProbeRequest{Service, Probe.Instance_,
                                                   Probe.Address_});
                   },
                   [&](EjectionDecision &Decision) {
                     Out.emplace_back(makeAuditEntry(Decision, Now));
                   },
               },
               Effect);
}

AuditEntry AuthorityService::makeAuditEntry(const EjectionDecision &Decision,
                                            TimePoint Now) const {
  AuditEntry Entry;
  Entry.At_ = wallTimeAt(Now);
  Entry.Kind_ = auditKindFor(Decision.Kind_);
  Entry.Actor_ = Settings_.Self_.text();
  Entry.Service_ = Decision.Service_;
  Entry.Version_ = Decision.Version_;
  Entry.Detail_ = describe(Decision);
  Entry.Outcome_ = decisionName(Decision.Kind_);
  return Entry;
}

AuditEntry AuthorityService::makeAuditEntry(const LeaseHeld &Held,
                                            TimePoint Now) const {
  AuditEntry Entry;
  Entry.At_ = wallTimeAt(Now);
  Entry.Kind_ = AuditKind::AuthorityTaken;
  Entry.Actor_ = Settings_.Self_.text();
  Entry.Service_ = Held.Service_;
  Entry.Detail_ = "fence " + std::to_string(Held.Fence_.value());
  Entry.Outcome_ = "lease won";
  return Entry;
}

WallTime AuthorityService::wallTimeAt(TimePoint Now) const {
  return Settings_.WallTimeAtOrigin_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             Now.time_since_epoch());
}

} // namespace jaybridge
