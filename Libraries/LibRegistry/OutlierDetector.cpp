#include <LibRegistry/OutlierDetector.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace jaybridge {

namespace {

double decayFactor(Duration Age,
                   Duration HalfLife = OutlierDetector::EvidenceHalfLife) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HalfLife.count()));
}

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Weight of a single outcome after six half-lives.
constexpr double NegligibleWeight = 1.0 / 64;

double weighted(EventCount Count, double Weight) {
  return static_cast<double>(Count.value()) * Weight;
}

} // namespace

void OutlierDetector::ServiceTrend::record(const AttemptCounts &Counts,
                                           TimePoint Now) {
  const Duration Age = Now - UpdatedAt_;
  UpdatedAt_ = Now;
  ServiceSeconds_ =
      ServiceSeconds_ * decayFactor(Age) + inSeconds(Counts.ServiceTime_);
  const double Decay = decayFactor(Age, CredibilityHalfLife);
  AnsweredLate_ = AnsweredLate_ * Decay + weighted(Counts.AnsweredLate_, 1);
  NeverAnswered_ = NeverAnswered_ * Decay + weighted(Counts.NeverAnswered_, 1);
}

double OutlierDetector::ServiceTrend::overdueWeight() const {
  const double Resolved = NeverAnswered_ + AnsweredLate_;
  const double Share =
      Resolved < NegligibleWeight ? CredibleShare : NeverAnswered_ / Resolved;
  return Share >= CredibleShare ? LostWeight : Share;
}

double OutlierDetector::ServiceTrend::slotsInUse(TimePoint Now) const {
  // The weights of the decaying sum add up to its mean lifetime.
  const double MeanLifetime = inSeconds(EvidenceHalfLife) / std::numbers::ln2;
  return ServiceSeconds_ * decayFactor(Now - UpdatedAt_) / MeanLifetime;
}

bool OutlierDetector::isFailing(const InstanceHealth &Health, double Failures) {
  const double Total = Failures + Health.Unreachable_ + Health.Successes_;
  const double AllFailures = Failures + Health.Unreachable_;
  bool IsFailing =
      Failures >= MinFailures && Failures >= MinFailureShare * Total;
  bool IsUnreachable =
      AllFailures >= MinFailures && AllFailures >= MinUnreachableShare * Total;
  return IsFailing || IsUnreachable;
}

void OutlierDetector::startProbation(InstanceHealth &Health) {
  Health.IsOnProbation_ = true;
  Health.Failures_ = 0;
  Health.Unreachable_ = 0;
  Health.Successes_ = 0;
  Health.Open_ = 0;
  Health.OpenCount_ = 0;
}

void OutlierDetector::addOverdue(InstanceHealth &Health, EventCount Overdue,
                                 double Weight) {
  const double Added = weighted(Overdue, Weight);
  Health.OpenCount_ += weighted(Overdue, 1);
  Health.Open_ += Added;
  Health.Failures_ += Added;
}

void OutlierDetector::settleOverdue(InstanceHealth &Health,
                                    const AttemptCounts &Counts,
                                    TimePoint Now) {
  const double Ended =
      std::min(Health.OpenCount_,
               weighted(Counts.AnsweredLate_ + Counts.NeverAnswered_, 1));
  if (Ended <= 0)
    return;
  const double Settled = Health.Open_ * Ended / Health.OpenCount_;
  Health.OpenCount_ -= Ended;
  Health.Open_ -= Settled;
  Health.Failures_ = std::max(0.0, Health.Failures_ - Settled);
  if (Counts.AnsweredLate_ == EventCount(0) || !Health.IsEjectedForOpen_ ||
      isFailing(Health, Health.Failures_))
    return;
  Health.IsEjectedForOpen_ = false;
  Health.EjectedUntil_ = std::min(Health.EjectedUntil_, Now);
  Health.HasBeenEjected_ = false;
}

void OutlierDetector::record(const AttemptCounts &Counts,
                             const ServiceName &Service, TimePoint Now) {
  ServiceTrend &Trend = Trends_[Service];
  Trend.record(Counts, Now);
  InstanceHealth &Health = Instances_[Counts.Id_];
  settleOverdue(Health, Counts, Now);
  // Other attempts that were in flight when the instance was ejected carry no
  // new information.
  if (Now < Health.EjectedUntil_)
    return addOverdue(Health, Counts.Overdue_, Trend.overdueWeight());
  if (Health.HasBeenEjected_ && !Health.IsOnProbation_)
    startProbation(Health);
  double Decay = decayFactor(Now - Health.UpdatedAt_);
  Health.Open_ *= Decay;
  Health.Failures_ = Health.Failures_ * Decay +
                     weighted(Counts.Lost_, LostWeight) +
                     weighted(Counts.Errors_, ErrorWeight);
  addOverdue(Health, Counts.Overdue_, Trend.overdueWeight());
  Health.Unreachable_ = Health.Unreachable_ * Decay +
                        weighted(Counts.Unreachable_, UnreachableWeight);
  Health.Successes_ =
      Health.Successes_ * Decay + weighted(Counts.Successes_, 1);
  Health.UpdatedAt_ = Now;
  if (!isFailing(Health, Health.Failures_))
    return;
  Health.IsEjectedForOpen_ =
      !isFailing(Health, Health.Failures_ - Health.Open_);
  eject(Health, Now);
}

void OutlierDetector::eject(InstanceHealth &Health, TimePoint Now) {
  bool FailedProbation =
      Health.IsOnProbation_ && Now < Health.EjectedUntil_ + ProbationDuration;
  Health.IsOnProbation_ = false;
  Health.HasBeenEjected_ = true;
  Health.EjectedAt_ = Now;
  Health.EjectedUntil_ = Now + EjectionDuration;
  Health.FailureShare_ = Health.failures() / Health.total();
  Health.IsProven_ =
      FailedProbation || Health.FailureShare_ >= ProvenFailureShare;
  Health.IsDown_ = FailedProbation &&
                   Health.Failures_ + Health.Successes_ < NegligibleWeight;
}

bool OutlierDetector::isEjected(const InstanceId &Id, TimePoint Now) const {
  auto Found = Instances_.find(Id);
  return Found != Instances_.end() && Now < Found->second.EjectedUntil_;
}

void OutlierDetector::releaseInDegradedServices(const ServiceRegistry &Registry,
                                                TimePoint Now) {
  std::map<ServiceName, ServiceOutcomes> Services;
  for (const auto &[Id, Health] : Instances_)
    if (const InstanceRecord *Record = Registry.find(Id);
        Record && !Health.IsDown_) {
      double Decay = decayFactor(Now - Health.UpdatedAt_);
      ServiceOutcomes &Outcomes = Services[Record->Service_];
      Outcomes.Failures_ += Decay * Health.failures();
      Outcomes.Total_ += Decay * Health.total();
    }
  for (auto &[Id, Health] : Instances_) {
    if (Now >= Health.EjectedUntil_ || Health.IsDown_ ||
        Now < Health.EjectedAt_ + MinEjectionDuration)
      continue;
    const InstanceRecord *Record = Registry.find(Id);
    if (!Record)
      continue;
    const ServiceOutcomes &Outcomes = Services[Record->Service_];
    if (Outcomes.Failures_ > DegradedFailureShare * Outcomes.Total_)
      Health.EjectedUntil_ = Now;
  }
}

bool OutlierDetector::ServicePool::hasRoomWithoutProven() const {
  const auto Count = static_cast<double>(ProvenEjected_.size());
  return Count <= MaxProvenEjectedShare *
                      (static_cast<double>(UnprovenCount_) + Count) &&
         SlotsInUse_ <= MaxSlotUse * (Slots_ - ProvenEjectedSlots_);
}

void OutlierDetector::releaseOldest(ServicePool &Pool,
                                    const ServiceRegistry &Registry,
                                    TimePoint Now) {
  if (Pool.hasRoomWithoutProven())
    return;
  std::stable_sort(Pool.ProvenEjected_.begin(), Pool.ProvenEjected_.end(),
                   [this](const InstanceId &Left, const InstanceId &Right) {
                     return Instances_.at(Left).EjectedAt_ >
                            Instances_.at(Right).EjectedAt_;
                   });
  while (!Pool.ProvenEjected_.empty() && !Pool.hasRoomWithoutProven()) {
    const InstanceId &Id = Pool.ProvenEjected_.back();
    InstanceHealth &Oldest = Instances_.at(Id);
    if (Now < Oldest.EjectedAt_ + MinEjectionDuration)
      return;
    Oldest.EjectedUntil_ = Now;
    Pool.ProvenEjectedSlots_ -= Registry.find(Id)->Slots_.value();
    Pool.ProvenEjected_.pop_back();
    ++Pool.UnprovenCount_;
  }
}

void OutlierDetector::releaseSlowServices(const ServiceRegistry &Registry,
                                          TimePoint Now) {
  struct OverdueShare {
    std::size_t Serving_ = 0;
    std::vector<InstanceHealth *> Overdue_;
  };
  std::map<ServiceName, OverdueShare> Shares;
  for (const auto &[Id, Record] : Registry.instances()) {
    if (Record.State_ != InstanceState::Serving)
      continue;
    OverdueShare &Share = Shares[Record.Service_];
    ++Share.Serving_;
    if (auto Found = Instances_.find(Id);
        Found != Instances_.end() && Found->second.Open_ > 0 &&
        Now < Found->second.UpdatedAt_ + MinEjectionDuration)
      Share.Overdue_.push_back(&Found->second);
  }
  for (const auto &[Name, Share] : Shares)
    if (static_cast<double>(Share.Overdue_.size()) >
        SlowServiceShare * static_cast<double>(Share.Serving_))
      for (InstanceHealth *Health : Share.Overdue_)
        if (Health->IsEjectedForOpen_ && Now < Health->EjectedUntil_) {
          Health->EjectedUntil_ = Now;
          Health->HasBeenEjected_ = false;
        }
}

void OutlierDetector::limitUnproven(std::vector<InstanceId> &Ejected,
                                    std::size_t Permitted, TimePoint Now) {
  if (Ejected.size() <= Permitted)
    return;
  std::stable_sort(Ejected.begin(), Ejected.end(),
                   [this](const InstanceId &Left, const InstanceId &Right) {
                     return Instances_.at(Left).FailureShare_ >
                            Instances_.at(Right).FailureShare_;
                   });
  while (Ejected.size() > Permitted) {
    InstanceHealth &Released = Instances_.at(Ejected.back());
    Released.EjectedUntil_ = Now;
    Released.HasBeenEjected_ = false;
    Ejected.pop_back();
  }
}

std::vector<InstanceId>
OutlierDetector::selectEjected(const ServiceRegistry &Registry,
                               Percentage Floor, TimePoint Now) {
  releaseSlowServices(Registry, Now);
  releaseInDegradedServices(Registry, Now);
  std::map<ServiceName, ServicePool> Pools;
  std::vector<InstanceId> Ejected;
  for (const auto &[Id, Record] : Registry.instances()) {
    if (Record.State_ != InstanceState::Serving)
      continue;
    ServicePool &Pool = Pools[Record.Service_];
    auto Found = Instances_.find(Id);
    bool IsEjected =
        Found != Instances_.end() && Now < Found->second.EjectedUntil_;
    if (IsEjected && Found->second.IsDown_) {
      Ejected.push_back(Id);
      continue;
    }
    Pool.Slots_ += Record.Slots_.value();
    if (IsEjected && Found->second.IsProven_) {
      Pool.ProvenEjectedSlots_ += Record.Slots_.value();
      Pool.ProvenEjected_.push_back(Id);
      continue;
    }
    ++Pool.UnprovenCount_;
    if (IsEjected)
      Pool.UnprovenEjected_.push_back(Id);
  }
  auto Add = [&Ejected](const std::vector<InstanceId> &List) {
    Ejected.insert(Ejected.end(), List.begin(), List.end());
  };
  for (auto &[Name, Pool] : Pools) {
    if (auto Trend = Trends_.find(Name); Trend != Trends_.end())
      Pool.SlotsInUse_ = Trend->second.slotsInUse(Now);
    releaseOldest(Pool, Registry, Now);
    std::size_t MinInUse = (Pool.UnprovenCount_ * Floor.value() + 99) / 100;
    limitUnproven(Pool.UnprovenEjected_, Pool.UnprovenCount_ - MinInUse, Now);
    Add(Pool.ProvenEjected_);
    Add(Pool.UnprovenEjected_);
  }
  std::sort(Ejected.begin(), Ejected.end());
  return Ejected;
}

} // namespace jaybridge
