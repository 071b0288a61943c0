#include <LibDetection/EjectionAuthority.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Shares of the gateways that use an instance in the stages of its return.
constexpr std::array<double, 2> StageShares{0.25, 0.5};
/// Above this part of the threshold an instance is probed.
constexpr double SuspectShare = 0.5;

/// A new ejection is sent at once instead of with the next answers.
bool isEjection(const EjectionAuthority::Effect &Each) {
  const auto *Act = std::get_if<EjectionDecision>(&Each);
  return Act && (Act->Kind_ == EjectionDecisionKind::Ejected ||
                 Act->Kind_ == EjectionDecisionKind::EjectedAgain);
}

} // namespace

EventCount permittedEjections(EventCount Serving, Percentage Floor) {
  constexpr std::uint64_t Whole = 100;
  std::uint64_t Kept = (Serving.value() * Floor.value() + Whole - 1) / Whole;
  return EventCount(Serving.value() - std::min(Kept, Serving.value()));
}

void EjectionAuthority::handle(const Event &Received, TimePoint Now,
                               std::vector<Effect> &Effects) {
  std::visit(
      Overloaded{
          [&](const EvidenceReport &Each) { collect(Each, Now, Effects); },
          [&](const AuthorityGranted &Each) {
            if (Lease_ && Lease_->Fence_ == Each.Fence_ && holdsLease(Now)) {
              Lease_->ValidUntil_ = Each.ValidUntil_;
              return;
            }
            loseLease();
            Lease_ = Lease{Each.Fence_, Each.ValidUntil_, Now + EjectionTerm};
            RoundEndsAt_ = Now + RoundLength;
            ProbeAt_ = Now + ProbeInterval;
          },
          [&](const AuthorityLost &) { loseLease(); },
          [&](const PoolChanged &Each) { change(Each, Now, Effects); },
          [&](const ProbeCompleted &Each) {
            if (Each.IsHealthy_ || !holdsLease(Now))
              return;
            auto Found = Ejections_.find(Each.Instance_);
            if (Found == Ejections_.end())
              Pool_.addFailedProbe(Each.Instance_);
            else if (Found->second.Stage_ == 0)
              Found->second.Until_ =
                  std::max(Found->second.Until_, Now + ProbeInterval * 2);
          }},
      Received);
}

void EjectionAuthority::loseLease() {
  Lease_.reset();
  Ejections_.clear();
  InForceUntil_.clear();
  Flapping_.clear();
  KeptForFloor_.clear();
  Gateways_.clear();
  std::vector<InstanceId> Known;
  for (const auto &[Id, Record] : Instances_)
    Known.push_back(Id);
  Pool_ = EvidenceAggregator(Pool_.threshold());
  Pool_.setInstances(Known);
}

void EjectionAuthority::change(const PoolChanged &Changed, TimePoint Now,
                               std::vector<Effect> &Effects) {
  Policy_ = Changed.Policy_;
  Instances_.clear();
  std::vector<InstanceId> Serving;
  for (const InstanceRecord &Each : Changed.Instances_)
    if (Each.State_ == InstanceState::Serving) {
      Instances_.emplace(Each.Id_, Each);
      Serving.push_back(Each.Id_);
    }
  Pool_.setThreshold(alarmThreshold(Policy_->Profile_.falseEjection()));
  Pool_.setInstances(Serving);
  auto HasLeft = [&](const auto &Entry) {
    return !Instances_.contains(Entry.first);
  };
  std::erase_if(Ejections_, HasLeft);
  std::erase_if(Flapping_, HasLeft);
  // Lists that name the others expire; no earlier reinstatement is possible.
  EventCount Permitted = permittedEjections(EventCount(Instances_.size()),
                                            Policy_->Profile_.floor());
  while (EventCount(Ejections_.size()) > Permitted) {
    auto Soonest = std::min_element(
        Ejections_.begin(), Ejections_.end(),
        [](const auto &Left, const auto &Right) {
          return std::pair(Right.second.Stage_, Left.second.Until_) <
                 std::pair(Left.second.Stage_, Right.second.Until_);
        });
    InstanceId Id = Soonest->first;
    Ejections_.erase(Soonest);
    Pool_.restart(Id);
    record(EjectionDecisionKind::ReinstatedForFloor, Id, Now, Effects);
  }
}

void EjectionAuthority::collect(const EvidenceReport &Report, TimePoint Now,
                                std::vector<Effect> &Effects) {
  if (!holdsLease(Now) || Report.Service_ != Service_)
    return;
  if (Gateways_.contains(Report.Gateway_) ||
      Gateways_.size() < EvidenceAggregator::GreatestGatewayCount) {
    LatestReport &Latest = Gateways_[Report.Gateway_];
    Latest = {std::max(Latest.Number_, Report.Number_), Now};
  }
  Pool_.add(Report);
  collectCrashes(Report, Now);
  answer(Report.Gateway_, Report.Number_, Now, Effects);
}

void EjectionAuthority::answer(const MemberId &Gateway, ReportNumber Number,
                               TimePoint Now, std::vector<Effect> &Effects) {
  Revision_ = Revision_.next();
  EjectionList Answer{Gateway,
                      Service_,
                      Number,
                      Lease_->Fence_,
                      Revision_,
                      {},
                      Quarantine_.quarantined(),
                      Quarantine_.suspected()};
  for (const auto &[Id, Each] : Ejections_) {
    if (!isListedFor(Id, Each, Gateway))
      continue;
    Answer.Ejected_.push_back(Id);
    InForceUntil_[Id] = Now + EjectionTerm;
  }
  Effects.push_back(std::move(Answer));
}

void EjectionAuthority::collectCrashes(const EvidenceReport &Report,
                                       TimePoint Now) {
  Quarantine_.expire(Now);
  for (Fingerprint Each : Report.Survived_)
    Quarantine_.clear(Each);
  for (const CrashEvidence &Each : Report.Crashes_) {
    auto Together = static_cast<std::uint64_t>(
        std::count_if(Report.Crashes_.begin(), Report.Crashes_.end(),
                      [&](const CrashEvidence &Other) {
                        return Other.Instance_ == Each.Instance_;
                      }));
    Pool_.addFailure(Each.Instance_, Report.Gateway_);
    for (const ForgivenCrash &Forgiven :
         Quarantine_.add({Each.Instance_, Report.Gateway_, Each.Fingerprint_,
                          EventCount(Together)},
                         Now))
      Pool_.forgive(Forgiven.Instance_, Forgiven.Gateway_);
  }
}

void EjectionAuthority::advance(TimePoint Now, std::vector<Effect> &Effects) {
  if (Lease_ && !holdsLease(Now))
    loseLease();
  if (!Lease_ || !Policy_)
    return;
  if (RoundEndsAt_ <= Now)
    closeRound(Now, Effects);
  if (ProbeAt_ <= Now)
    probeSuspects(Now, Effects);
}

void EjectionAuthority::closeRound(TimePoint Now,
                                   std::vector<Effect> &Effects) {
  RoundEndsAt_ = Now + RoundLength;
  Pool_.closeRound();
  std::erase_if(InForceUntil_,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(Gateways_, [&](const auto &Entry) {
    return Entry.second.At_ + GatewayMemory <= Now;
  });
  std::erase_if(Flapping_, [&](const auto &Entry) {
    return Entry.second.ForgetAt_ <= Now && !Ejections_.contains(Entry.first);
  });
  if (Now < Lease_->EjectsFrom_)
    return;
  std::size_t Before = Effects.size();
  returnGradually(Now, Effects);
  ejectWorst(Now, Effects);
  if (std::any_of(Effects.begin() + static_cast<std::ptrdiff_t>(Before),
                  Effects.end(), isEjection))
    for (const auto &[Gateway, Latest] : Gateways_)
      answer(Gateway, Latest.Number_, Now, Effects);
}

void EjectionAuthority::ejectWorst(TimePoint Now,
                                   std::vector<Effect> &Effects) {
  std::vector<std::pair<Evidence, InstanceId>> Bad;
  for (const auto &[Id, Record] : Instances_)
    if (Evidence Against = Pool_.suspicion(Id).greater();
        Against >= Pool_.threshold() && !Ejections_.contains(Id))
      Bad.emplace_back(Against, Id);
  std::sort(Bad.rbegin(), Bad.rend());
  EventCount Permitted = permittedEjections(EventCount(Instances_.size()),
                                            Policy_->Profile_.floor());
  std::set<InstanceId> Kept;
  for (const auto &[Against, Id] : Bad) {
    std::set<InstanceId> InForce = ejectedInForce(Now);
    InForce.insert(Id);
    if (EventCount(InForce.size()) <= Permitted) {
      eject(Id, Now, EjectionDecisionKind::Ejected, Effects);
      continue;
    }
    Kept.insert(Id);
    if (!KeptForFloor_.contains(Id))
      record(EjectionDecisionKind::WithheldForFloor, Id, Now, Effects);
  }
  KeptForFloor_ = std::move(Kept);
}

void EjectionAuthority::eject(const InstanceId &Id, TimePoint Now,
                              EjectionDecisionKind Kind,
                              std::vector<Effect> &Effects) {
  Flapping &Earlier = Flapping_[Id];
  Duration Length = FirstEjection;
  for (unsigned I = 0; I < Earlier.Count_ && Length < GreatestEjection; ++I)
    Length *= 2;
  Length = std::min(Length, GreatestEjection);
  ++Earlier.Count_;
  Earlier.ForgetAt_ = Now + Length + FlappingMemory;
  Ejection &Each = Ejections_[Id];
  Each = Ejection{};
  Each.Until_ = Now + Length;
  record(Kind, Id, Now, Effects);
  Pool_.restart(Id);
}

void EjectionAuthority::returnGradually(TimePoint Now,
                                        std::vector<Effect> &Effects) {
  std::vector<InstanceId> Bad;
  std::vector<InstanceId> Returned;
  for (auto &[Id, Each] : Ejections_) {
    if (Each.Stage_ == 0) {
      if (Each.Until_ <= Now)
        startStage(Id, Each, Now, Effects);
      continue;
    }
    // Until every admitted gateway has the new list, there is no evidence.
    Suspicion Latest = Pool_.lastRound(Id);
    Each.Failure_->add(Latest.Failure_);
    Each.Slowness_->add(Latest.Slowness_);
    TestVerdict Verdict = verdictOf(Each);
    if (Verdict == TestVerdict::Faulty)
      Bad.push_back(Id);
    else if (Now >= Each.StageSince_ + GreatestStage ||
             (Verdict == TestVerdict::Healthy &&
              Now >= Each.StageSince_ + LeastStage)) {
      if (Each.Stage_ == StageShares.size())
        Returned.push_back(Id);
      else
        startStage(Id, Each, Now, Effects);
    }
  }
  for (const InstanceId &Id : Bad)
    eject(Id, Now, EjectionDecisionKind::EjectedAgain, Effects);
  for (const InstanceId &Id : Returned) {
    Ejections_.erase(Id);
    Flapping_[Id].ForgetAt_ = Now + FlappingMemory;
    record(EjectionDecisionKind::Reinstated, Id, Now, Effects);
  }
}

void EjectionAuthority::startStage(const InstanceId &Id, Ejection &Each,
                                   TimePoint Now,
                                   std::vector<Effect> &Effects) {
  auto Test = SequentialTest::create(Policy_->Profile_.falseEjection(),
                                     Policy_->Profile_.missedDetection());
  Each.Failure_ = Test.value();
  Each.Slowness_ = Test.value();
  ++Each.Stage_;
  Each.StageSince_ = Now;
  record(EjectionDecisionKind::ReturnStageStarted, Id, Now, Effects);
  Pool_.restart(Id);
}

TestVerdict EjectionAuthority::verdictOf(const Ejection &Each) {
  TestVerdict Failure = Each.Failure_->verdict();
  TestVerdict Slowness = Each.Slowness_->verdict();
  if (Failure == TestVerdict::Faulty || Slowness == TestVerdict::Faulty)
    return TestVerdict::Faulty;
  return Failure == Slowness ? Failure : TestVerdict::Undecided;
}

/// Gateways are ranked per instance, so that a stage admits the same ones in
/// each answer and different instances burden different gateways.
bool EjectionAuthority::isListedFor(const InstanceId &Id, const Ejection &Each,
                                    const MemberId &Gateway) const {
  if (Each.Stage_ == 0)
    return true;
  std::uint64_t Basis = stableHash(Id.text());
  std::uint64_t Own = stableHash(Gateway.text(), Basis);
  auto Rank = static_cast<double>(
      std::count_if(Gateways_.begin(), Gateways_.end(), [&](const auto &Other) {
        return stableHash(Other.first.text(), Basis) < Own;
      }));
  return Rank >=
         StageShares[Each.Stage_ - 1] * static_cast<double>(Gateways_.size());
}

void EjectionAuthority::probeSuspects(TimePoint Now,
                                      std::vector<Effect> &Effects) {
  ProbeAt_ = Now + ProbeInterval;
  Evidence Suspect(Pool_.threshold().value() * SuspectShare);
  for (const auto &[Id, Record] : Instances_)
    if (Ejections_.contains(Id) || Pool_.suspicion(Id).greater() >= Suspect)
      Effects.push_back(ProbeInstance{Id, Record.Address_});
}

std::set<InstanceId> EjectionAuthority::ejectedInForce(TimePoint Now) const {
  std::set<InstanceId> InForce;
  for (const auto &[Id, Each] : Ejections_)
    InForce.insert(Id);
  for (const auto &[Id, Until] : InForceUntil_)
    if (Until > Now && Instances_.contains(Id))
      InForce.insert(Id);
  return InForce;
}

void EjectionAuthority::record(EjectionDecisionKind Kind, const InstanceId &Id,
                               TimePoint Now,
                               std::vector<Effect> &Effects) const {
  Effects.push_back(EjectionDecision{
      Kind, Service_, Id, Lease_ ? Lease_->Fence_ : FenceNumber(),
      Policy_->Version_, Pool_.suspicion(Id), Pool_.threshold(),
      Pool_.tally(Id), EventCount(Pool_.gatewayCount()),
      EventCount(ejectedInForce(Now).size()),
      permittedEjections(EventCount(Instances_.size()),
                         Policy_->Profile_.floor())});
}

std::optional<TimePoint> EjectionAuthority::nextDeadline() const {
  if (!Lease_ || !Policy_)
    return std::nullopt;
  return std::min({RoundEndsAt_, ProbeAt_, Lease_->ValidUntil_});
}

} // namespace jaybridge
