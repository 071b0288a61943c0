#include <LibControl/AuthorityService.h>

#include <sstream>

namespace jaybridge {

namespace {

const char *actName(EjectionActKind Kind) {
  switch (Kind) {
  case EjectionActKind::Ejected:
    return "ejected";
  case EjectionActKind::EjectedAgain:
    return "ejected again";
  case EjectionActKind::Returning:
    return "returning";
  case EjectionActKind::Reinstated:
    return "reinstated";
  case EjectionActKind::KeptForFloor:
    return "kept for the floor";
  case EjectionActKind::ReinstatedForFloor:
    return "reinstated for the floor";
  }
  return "ejected";
}

AuditKind auditKindOf(EjectionActKind Kind) {
  switch (Kind) {
  case EjectionActKind::Ejected:
  case EjectionActKind::EjectedAgain:
    return AuditKind::InstanceEjected;
  case EjectionActKind::KeptForFloor:
    return AuditKind::EjectionWithheld;
  default:
    return AuditKind::InstanceReturned;
  }
}

std::string describe(const EjectionAct &Act) {
  std::ostringstream Text;
  Text << Act.Instance_.text() << " " << actName(Act.Kind_) << ": failure "
       << Act.Suspicion_.Failure_.value() << ", slowness "
       << Act.Suspicion_.Slowness_.value() << ", threshold "
       << Act.Threshold_.value() << "; good " << Act.Tally_.Good_.value()
       << ", failed " << Act.Tally_.Failed_.value() << ", slow "
       << Act.Tally_.Slow_.value() << " of "
       << Act.Tally_.Slow_.value() + Act.Tally_.Fast_.value() << ", gateways "
       << Act.Gateways_.value() << "; ejected " << Act.EjectedNow_.value()
       << " of " << Act.Permitted_.value() << " permitted";
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
  std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
  settle(Now, Out);
}

void AuthorityService::advance(TimePoint Now, Effects &Out) {
  Reporter_.advance(Now, ReporterEffects_);
  Candidate_.advance(Now, CandidateEffects_);
  if (Voter_)
    Voter_->advance(Now, VoterEffects_);
  for (auto &[Service, Authority] : Authorities_) {
    std::vector<EjectionAuthority::Effect> Decisions;
    Authority.advance(Now, Decisions);
    applyDecisions(Service, Decisions, Now, Out);
  }
  settle(Now, Out);
}

std::optional<TimePoint> AuthorityService::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  auto Consider = [&](std::optional<TimePoint> Due) {
    if (Due && (!Earliest || *Due < *Earliest))
      Earliest = Due;
  };
  Consider(Reporter_.nextDeadline());
  Consider(Candidate_.nextDeadline());
  if (Voter_)
    Consider(Voter_->nextDeadline());
  for (const auto &[Service, Authority] : Authorities_)
    Consider(Authority.nextDeadline());
  return Earliest;
}

void AuthorityService::on(const AttemptObserved &Seen, TimePoint Now,
                          Effects &) {
  Reporter_.handle(Seen, Now, ReporterEffects_);
}

void AuthorityService::on(const FromMember<EvidenceReport> &Got, TimePoint Now,
                          Effects &Out) {
  feed(Got.Message_.Service_, Got.Message_, Now, Out);
}

void AuthorityService::on(const FromMember<EjectionAnswer> &Got, TimePoint Now,
                          Effects &) {
  Finder_.hear(Got.Message_.Service_, Got.From_, Now);
  Reporter_.handle(EjectionAnswerReceived{Got.Message_}, Now, ReporterEffects_);
}

void AuthorityService::on(const FromMember<LeaseMessage> &Got, TimePoint Now,
                          Effects &) {
  if (!std::holds_alternative<LeaseAnswer>(Got.Message_)) {
    if (Voter_)
      Voter_->handle(Got, Now, VoterEffects_);
    return;
  }
  Candidate_.handle(Got, Now, CandidateEffects_);
}

void AuthorityService::on(const MemberChanged &Changed, TimePoint Now,
                          Effects &) {
  Candidate_.handle(Changed, Now, CandidateEffects_);
}

void AuthorityService::on(const InstanceUpdated &Updated, TimePoint Now,
                          Effects &Out) {
  const InstanceRecord &Record = Updated.Record_;
  auto &Pool = Instances_[Record.Service_];
  if (Record.State_ == InstanceState::Serving)
    Pool[Record.Id_] = Record;
  else
    Pool.erase(Record.Id_);
  updatePool(Record.Service_, Now, Out);
}

void AuthorityService::on(const CatalogApplied &Catalog, TimePoint Now,
                          Effects &Out) {
  ServicesListed Listed;
  for (const ServicePolicy &Policy : Catalog.Policies_) {
    Policies_.insert_or_assign(Policy.Service_, Policy);
    Listed.Services_.push_back(Policy.Service_);
    updatePool(Policy.Service_, Now, Out);
  }
  Candidate_.handle(Listed, Now, CandidateEffects_);
}

void AuthorityService::on(const ProbeResult &Probed, TimePoint Now,
                          Effects &Out) {
  feed(Probed.Service_, ProbeAnswered{Probed.Instance_, Probed.IsHealthy_}, Now,
       Out);
}

void AuthorityService::feed(const ServiceName &Service,
                            const EjectionAuthority::Event &Given,
                            TimePoint Now, Effects &Out) {
  auto Found = Authorities_.find(Service);
  if (Found == Authorities_.end())
    return;
  std::vector<EjectionAuthority::Effect> Decisions;
  Found->second.handle(Given, Now, Decisions);
  applyDecisions(Service, Decisions, Now, Out);
}

void AuthorityService::updatePool(const ServiceName &Service, TimePoint Now,
                                  Effects &Out) {
  auto Policy = Policies_.find(Service);
  if (Policy == Policies_.end() || !Authorities_.contains(Service))
    return;
  PoolChanged Pool{Policy->second, {}};
  for (const auto &[Id, Record] : Instances_[Service])
    Pool.Instances_.push_back(Record);
  feed(Service, Pool, Now, Out);
}

void AuthorityService::settle(TimePoint Now, Effects &Out) {
  auto ApplyAll = [&](auto &Pending) {
    std::decay_t<decltype(Pending)> Taken;
    Taken.swap(Pending);
    for (auto &Each : Taken)
      std::visit([&](auto &Inner) { apply(Inner, Now, Out); }, Each);
  };
  while (!ReporterEffects_.empty() || !CandidateEffects_.empty() ||
         !VoterEffects_.empty()) {
    ApplyAll(ReporterEffects_);
    ApplyAll(CandidateEffects_);
    ApplyAll(VoterEffects_);
  }
}

void AuthorityService::apply(SendReport &Send, TimePoint Now, Effects &Out) {
  const ServiceName &Service = Send.Report_.Service_;
  if (auto Target =
          Finder_.target(Service, Candidate_.candidatesFor(Service), Now))
    Out.emplace_back(SendToMember<EvidenceReport>{std::move(*Target),
                                                  std::move(Send.Report_)});
}

void AuthorityService::apply(EjectionsApplied &Applied, TimePoint,
                             Effects &Out) {
  Out.emplace_back(std::move(Applied));
}

void AuthorityService::apply(QuarantineApplied &Applied, TimePoint,
                             Effects &Out) {
  Out.emplace_back(std::move(Applied));
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
    Out.emplace_back(auditOf(Held, Now));
    updatePool(Held.Service_, Now, Out);
  }
  feed(Held.Service_, AuthorityWon{Held.Fence_, Held.Until_}, Now, Out);
}

void AuthorityService::apply(LeaseLost &Lost, TimePoint Now, Effects &Out) {
  feed(Lost.Service_, AuthorityLost{}, Now, Out);
}

void AuthorityService::applyDecisions(
    const ServiceName &Service,
    std::vector<EjectionAuthority::Effect> &Decisions, TimePoint Now,
    Effects &Out) {
  for (EjectionAuthority::Effect &Each : Decisions)
    std::visit(
        Overloaded{
            [&](EjectionAnswer &Answer) {
              MemberId To = Answer.Gateway_;
              Out.emplace_back(SendToMember<EjectionAnswer>{std::move(To),
                                                            std::move(Answer)});
            },
            [&](ProbeInstance &Probe) {
              Out.emplace_back(
                  ProbeRequest{Service, Probe.Instance_, Probe.Address_});
            },
            [&](EjectionAct &Act) { Out.emplace_back(auditOf(Act, Now)); },
        },
        Each);
}

AuditEntry AuthorityService::auditOf(const EjectionAct &Act,
                                     TimePoint Now) const {
  AuditEntry Entry;
  Entry.At_ = wallTime(Now);
  Entry.Kind_ = auditKindOf(Act.Kind_);
  Entry.Actor_ = Settings_.Self_.text();
  Entry.Service_ = Act.Service_;
  Entry.Version_ = Act.Version_;
  Entry.Detail_ = describe(Act);
  Entry.Outcome_ = actName(Act.Kind_);
  return Entry;
}

AuditEntry AuthorityService::auditOf(const LeaseHeld &Held,
                                     TimePoint Now) const {
  AuditEntry Entry;
  Entry.At_ = wallTime(Now);
  Entry.Kind_ = AuditKind::AuthorityTaken;
  Entry.Actor_ = Settings_.Self_.text();
  Entry.Service_ = Held.Service_;
  Entry.Detail_ = "fence " + std::to_string(Held.Fence_.value());
  Entry.Outcome_ = "lease won";
  return Entry;
}

WallTime AuthorityService::wallTime(TimePoint Now) const {
  return Settings_.WallTimeAtOrigin_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             Now.time_since_epoch());
}

} // namespace jaybridge
