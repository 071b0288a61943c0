#include <LibDetection/EjectionAuthority.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Shares of the gateways that use a returning instance in each stage.
constexpr std::array<double, 2> StageGatewayShares{0.25, 0.5};
/// Instances with an outlier score above this share of the threshold are
/// probed.
constexpr double ProbeThresholdShare = 0.5;

/// Returns true for decisions that are sent to the gateways at once instead of
/// with the response to their next report.
bool isEjection(const EjectionAuthority::Effect &Emitted) {
  const auto *Decision = std::get_if<EjectionDecision>(&Emitted);
  return Decision && (Decision->Kind_ == EjectionDecisionKind::Ejected ||
                      Decision->Kind_ == EjectionDecisionKind::EjectedAgain);
}

} // namespace

EventCount permittedEjections(EventCount Serving, Percentage Floor) {
  constexpr std::uint64_t FullPercentage = 100;
  std::uint64_t MinServing =
      (Serving.value() * Floor.value() + FullPercentage - 1) / FullPercentage;
  return EventCount(Serving.value() - std::min(MinServing, Serving.value()));
}

void EjectionAuthority::handle(const Event &Received, TimePoint Now,
                               std::vector<Effect> &Effects) {
  std::visit(Overloaded{[&](const EvidenceReport &Report) {
                          handleReport(Report, Now, Effects);
                        },
                        [&](const AuthorityGranted &Granted) {
                          if (Lease_ && Lease_->Fence_ == Granted.Fence_ &&
                              holdsLease(Now)) {
                            Lease_->ValidUntil_ = Granted.ValidUntil_;
                            return;
                          }
                          endLease();
                          Lease_ = Lease{Granted.Fence_, Granted.ValidUntil_,
                                         Now + MaxEjectionListLifetime};
                          RoundEndsAt_ = Now + RoundInterval;
                          ProbeAt_ = Now + ProbeInterval;
                        },
                        [&](const AuthorityLost &) { endLease(); },
                        [&](const PoolChanged &Changed) {
                          updatePool(Changed, Now, Effects);
                        },
                        [&](const ProbeCompleted &Probe) {
                          if (Probe.IsHealthy_ || !holdsLease(Now))
                            return;
                          auto Found = Ejections_.find(Probe.Instance_);
                          if (Found == Ejections_.end())
                            Evidence_.addFailedProbe(Probe.Instance_);
                          else if (Found->second.Stage_ == 0)
                            Found->second.EjectedUntil_ =
                                std::max(Found->second.EjectedUntil_,
                                         Now + ProbeInterval * 2);
                        }},
             Received);
}

void EjectionAuthority::endLease() {
  Lease_.reset();
  Ejections_.clear();
  ListedUntil_.clear();
  EjectionHistories_.clear();
  WithheldForFloor_.clear();
  LatestReports_.clear();
  std::vector<InstanceId> InstanceIds;
  for (const auto &[Id, Record] : Instances_)
    InstanceIds.push_back(Id);
  Evidence_ = EvidencePool(Evidence_.threshold());
  Evidence_.setInstances(InstanceIds);
}

void EjectionAuthority::updatePool(const PoolChanged &Changed, TimePoint Now,
                                   std::vector<Effect> &Effects) {
  Policy_ = Changed.Policy_;
  Instances_.clear();
  std::vector<InstanceId> Serving;
  for (const InstanceRecord &Record : Changed.Instances_)
    if (Record.State_ == InstanceState::Serving) {
      Instances_.emplace(Record.Id_, Record);
      Serving.push_back(Record.Id_);
    }
  Evidence_.setThreshold(alarmThreshold(Policy_->Profile_.falseEjectionRate()));
  Evidence_.setInstances(Serving);
  auto IsGone = [&](const auto &Entry) {
    return !Instances_.contains(Entry.first);
  };
  std::erase_if(Ejections_, IsGone);
  std::erase_if(EjectionHistories_, IsGone);
  // Gateways treat a reinstated instance as ejected until the lists that
  // contain it have expired; it cannot return earlier.
  EventCount Permitted = permittedEjections(EventCount(Instances_.size()),
                                            Policy_->Profile_.floor());
  while (EventCount(Ejections_.size()) > Permitted) {
    auto NextToReturn = std::min_element(
        Ejections_.begin(), Ejections_.end(),
        [](const auto &Left, const auto &Right) {
          return std::pair(Right.second.Stage_, Left.second.EjectedUntil_) <
                 std::pair(Left.second.Stage_, Right.second.EjectedUntil_);
        });
    InstanceId Id = NextToReturn->first;
    Ejections_.erase(NextToReturn);
    Evidence_.resetSums(Id);
    recordDecision(EjectionDecisionKind::ReinstatedForFloor, Id, Now, Effects);
  }
}

void EjectionAuthority::handleReport(const EvidenceReport &Report,
                                     TimePoint Now,
                                     std::vector<Effect> &Effects) {
  if (!holdsLease(Now) || Report.Service_ != Service_)
    return;
  if (LatestReports_.contains(Report.Gateway_) ||
      LatestReports_.size() < EvidencePool::MaxGateways) {
    LatestReport &Latest = LatestReports_[Report.Gateway_];
    Latest = {std::max(Latest.Number_, Report.Number_), Now};
  }
  Evidence_.add(Report);
  recordCrashes(Report, Now);
  sendList(Report.Gateway_, Report.Number_, Now, Effects);
}

void EjectionAuthority::sendList(const MemberId &Gateway, ReportNumber Number,
                                 TimePoint Now, std::vector<Effect> &Effects) {
  Revision_ = Revision_.next();
  EjectionList List{Gateway,
                    Service_,
                    Number,
                    Lease_->Fence_,
                    Revision_,
                    {},
                    Quarantine_.quarantined(),
                    Quarantine_.suspected()};
  for (const auto &[Id, State] : Ejections_) {
    if (!isEjectedFor(Id, State, Gateway))
      continue;
    List.Ejected_.push_back(Id);
    ListedUntil_[Id] = Now + MaxEjectionListLifetime;
  }
  Effects.push_back(std::move(List));
}

void EjectionAuthority::recordCrashes(const EvidenceReport &Report,
                                      TimePoint Now) {
  Quarantine_.expire(Now);
  for (Fingerprint Answered : Report.Survived_)
    Quarantine_.clear(Answered);
  for (const CrashEvidence &Crash : Report.Crashes_) {
    auto ConcurrentLosses = static_cast<std::uint64_t>(
        std::count_if(Report.Crashes_.begin(), Report.Crashes_.end(),
                      [&](const CrashEvidence &Other) {
                        return Other.Instance_ == Crash.Instance_;
                      }));
    Evidence_.addFailure(Crash.Instance_, Report.Gateway_);
    for (const CrashOccurrence &Attributed :
         Quarantine_.add({Crash.Instance_, Report.Gateway_, Crash.Fingerprint_,
                          EventCount(ConcurrentLosses)},
                         Now))
      Evidence_.retractFailure(Attributed.Instance_, Attributed.Gateway_);
  }
}

void EjectionAuthority::advance(TimePoint Now, std::vector<Effect> &Effects) {
  if (Lease_ && !holdsLease(Now))
    endLease();
  if (!Lease_ || !Policy_)
    return;
  if (RoundEndsAt_ <= Now)
    endRound(Now, Effects);
  if (ProbeAt_ <= Now)
    probeInstances(Now, Effects);
}

void EjectionAuthority::endRound(TimePoint Now, std::vector<Effect> &Effects) {
  RoundEndsAt_ = Now + RoundInterval;
  Evidence_.endRound();
  std::erase_if(ListedUntil_,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(LatestReports_, [&](const auto &Entry) {
    return Entry.second.ReceivedAt_ + GatewayReportTimeout <= Now;
  });
  std::erase_if(EjectionHistories_, [&](const auto &Entry) {
    return Entry.second.ExpiresAt_ <= Now && !Ejections_.contains(Entry.first);
  });
  if (Now < Lease_->EjectionsAllowedFrom_)
    return;
  std::size_t Before = Effects.size();
  advanceReturns(Now, Effects);
  ejectOutliers(Now, Effects);
  if (std::any_of(Effects.begin() + static_cast<std::ptrdiff_t>(Before),
                  Effects.end(), isEjection))
    for (const auto &[Gateway, Latest] : LatestReports_)
      sendList(Gateway, Latest.Number_, Now, Effects);
}

void EjectionAuthority::ejectOutliers(TimePoint Now,
                                      std::vector<Effect> &Effects) {
  std::vector<std::pair<LogLikelihoodRatio, InstanceId>> Outliers;
  for (const auto &[Id, Record] : Instances_)
    if (LogLikelihoodRatio Score = Evidence_.outlierScore(Id).highest();
        Score >= Evidence_.threshold() && !Ejections_.contains(Id))
      Outliers.emplace_back(Score, Id);
  std::sort(Outliers.rbegin(), Outliers.rend());
  EventCount Permitted = permittedEjections(EventCount(Instances_.size()),
                                            Policy_->Profile_.floor());
  std::set<InstanceId> Withheld;
  for (const auto &[Score, Id] : Outliers) {
    std::set<InstanceId> InForce = ejectedInForce(Now);
    InForce.insert(Id);
    if (EventCount(InForce.size()) <= Permitted) {
      eject(Id, Now, EjectionDecisionKind::Ejected, Effects);
      continue;
    }
    Withheld.insert(Id);
    if (!WithheldForFloor_.contains(Id))
      recordDecision(EjectionDecisionKind::WithheldForFloor, Id, Now, Effects);
  }
  WithheldForFloor_ = std::move(Withheld);
}

void EjectionAuthority::eject(const InstanceId &Id, TimePoint Now,
                              EjectionDecisionKind Kind,
                              std::vector<Effect> &Effects) {
  EjectionHistory &History = EjectionHistories_[Id];
  Duration EjectionDuration = InitialEjectionDuration;
  for (unsigned I = 0;
       I < History.EjectionCount_ && EjectionDuration < MaxEjectionDuration;
       ++I)
    EjectionDuration *= 2;
  EjectionDuration = std::min(EjectionDuration, MaxEjectionDuration);
  ++History.EjectionCount_;
  History.ExpiresAt_ = Now + EjectionDuration + EjectionHistoryRetention;
  Ejection &State = Ejections_[Id];
  State = Ejection{};
  State.EjectedUntil_ = Now + EjectionDuration;
  recordDecision(Kind, Id, Now, Effects);
  Evidence_.resetSums(Id);
}

void EjectionAuthority::advanceReturns(TimePoint Now,
                                       std::vector<Effect> &Effects) {
  std::vector<InstanceId> Faulty;
  std::vector<InstanceId> Returned;
  for (auto &[Id, State] : Ejections_) {
    if (State.Stage_ == 0) {
      if (State.EjectedUntil_ <= Now)
        startReturnStage(Id, State, Now, Effects);
      continue;
    }
    // There is no evidence until the gateways of this stage have received the
    // new list.
    OutlierScore LastRound = Evidence_.lastRoundScore(Id);
    State.FailureTest_->add(LastRound.Failure_);
    State.SlownessTest_->add(LastRound.Slowness_);
    TestVerdict Verdict = combinedVerdict(State);
    if (Verdict == TestVerdict::Faulty)
      Faulty.push_back(Id);
    else if (Now >= State.StageStartedAt_ + MaxStageDuration ||
             (Verdict == TestVerdict::Healthy &&
              Now >= State.StageStartedAt_ + MinStageDuration)) {
      if (State.Stage_ == StageGatewayShares.size())
        Returned.push_back(Id);
      else
        startReturnStage(Id, State, Now, Effects);
    }
  }
  for (const InstanceId &Id : Faulty)
    eject(Id, Now, EjectionDecisionKind::EjectedAgain, Effects);
  for (const InstanceId &Id : Returned) {
    Ejections_.erase(Id);
    EjectionHistories_[Id].ExpiresAt_ = Now + EjectionHistoryRetention;
    recordDecision(EjectionDecisionKind::Reinstated, Id, Now, Effects);
  }
}

void EjectionAuthority::startReturnStage(const InstanceId &Id, Ejection &State,
                                         TimePoint Now,
                                         std::vector<Effect> &Effects) {
  auto Test = SequentialTest::create(Policy_->Profile_.falseEjectionRate(),
                                     Policy_->Profile_.missedDetectionRate());
  State.FailureTest_ = Test.value();
  State.SlownessTest_ = Test.value();
  ++State.Stage_;
  State.StageStartedAt_ = Now;
  recordDecision(EjectionDecisionKind::ReturnStageStarted, Id, Now, Effects);
  Evidence_.resetSums(Id);
}

TestVerdict EjectionAuthority::combinedVerdict(const Ejection &State) {
  TestVerdict Failure = State.FailureTest_->verdict();
  TestVerdict Slowness = State.SlownessTest_->verdict();
  if (Failure == TestVerdict::Faulty || Slowness == TestVerdict::Faulty)
    return TestVerdict::Faulty;
  return Failure == Slowness ? Failure : TestVerdict::Undecided;
}

/// The rank of a gateway depends on the instance. A stage therefore selects the
/// same gateways for every list, and different instances return to different
/// gateways first.
bool EjectionAuthority::isEjectedFor(const InstanceId &Id,
                                     const Ejection &State,
                                     const MemberId &Gateway) const {
  if (State.Stage_ == 0)
    return true;
  std::uint64_t InstanceHash = stableHash(Id.text());
  std::uint64_t GatewayHash = stableHash(Gateway.text(), InstanceHash);
  auto Rank = static_cast<double>(std::count_if(
      LatestReports_.begin(), LatestReports_.end(), [&](const auto &Other) {
        return stableHash(Other.first.text(), InstanceHash) < GatewayHash;
      }));
  return Rank >= StageGatewayShares[State.Stage_ - 1] *
                     static_cast<double>(LatestReports_.size());
}

void EjectionAuthority::probeInstances(TimePoint Now,
                                       std::vector<Effect> &Effects) {
  ProbeAt_ = Now + ProbeInterval;
  LogLikelihoodRatio ProbeThreshold(Evidence_.threshold().value() *
                                    ProbeThresholdShare);
  for (const auto &[Id, Record] : Instances_)
    if (Ejections_.contains(Id) ||
        Evidence_.outlierScore(Id).highest() >= ProbeThreshold)
      Effects.push_back(ProbeInstance{Id, Record.Address_});
}

std::set<InstanceId> EjectionAuthority::ejectedInForce(TimePoint Now) const {
  std::set<InstanceId> InForce;
  for (const auto &[Id, State] : Ejections_)
    InForce.insert(Id);
  for (const auto &[Id, Until] : ListedUntil_)
    if (Until > Now && Instances_.contains(Id))
      InForce.insert(Id);
  return InForce;
}

void EjectionAuthority::recordDecision(EjectionDecisionKind Kind,
                                       const InstanceId &Id, TimePoint Now,
                                       std::vector<Effect> &Effects) const {
  Effects.push_back(EjectionDecision{
      Kind, Service_, Id, Lease_ ? Lease_->Fence_ : FenceNumber(),
      Policy_->Version_, Evidence_.outlierScore(Id), Evidence_.threshold(),
      Evidence_.observations(Id), EventCount(Evidence_.gatewayCount()),
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
