#include <LibRegistry/OutlierDetector.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

double decayFactor(Duration Age) {
  return std::exp2(
      -static_cast<double>(Age.count()) /
      static_cast<double>(OutlierDetector::EvidenceHalfLife.count()));
}

/// Weight of a single outcome after six half-lives.
constexpr double NegligibleWeight = 1.0 / 64;

double weighted(EventCount Count, double Weight) {
  return static_cast<double>(Count.value()) * Weight;
}

} // namespace

void OutlierDetector::record(const AttemptCounts &Counts, TimePoint Now) {
  InstanceHealth &Health = Instances_[Counts.Id_];
  // Attempts that were in flight when the instance was ejected carry no new
  // information.
  if (Now < Health.EjectedUntil_)
    return;
  if (Health.EjectionDuration_ > Duration::zero() && !Health.IsOnProbation_) {
    Health.IsOnProbation_ = true;
    Health.Failures_ = 0;
    Health.Unreachable_ = 0;
    Health.Successes_ = 0;
  }
  double Decay = decayFactor(Now - Health.UpdatedAt_);
  Health.Failures_ = Health.Failures_ * Decay +
                     weighted(Counts.Lost_, LostWeight) +
                     weighted(Counts.Errors_, ErrorWeight);
  Health.Unreachable_ = Health.Unreachable_ * Decay +
                        weighted(Counts.Unreachable_, UnreachableWeight);
  Health.Successes_ =
      Health.Successes_ * Decay + weighted(Counts.Successes_, 1);
  Health.UpdatedAt_ = Now;
  bool IsFailing = Health.Failures_ >= MinFailures &&
                   Health.Failures_ >= MinFailureShare * Health.total();
  bool IsUnreachable =
      Health.failures() >= MinFailures &&
      Health.failures() >= MinUnreachableShare * Health.total();
  if (IsFailing || IsUnreachable)
    eject(Health, Now);
}

void OutlierDetector::eject(InstanceHealth &Health, TimePoint Now) {
  bool FailedProbation =
      Health.IsOnProbation_ && Now < Health.EjectedUntil_ + ProbationDuration;
  Health.IsOnProbation_ = false;
  Health.EjectionDuration_ =
      FailedProbation
          ? std::min(MaxEjectionDuration, 2 * Health.EjectionDuration_)
          : BaseEjectionDuration;
  Health.EjectedAt_ = Now;
  Health.EjectedUntil_ = Now + Health.EjectionDuration_;
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

void OutlierDetector::releaseOldest(ServicePool &Pool, TimePoint Now) {
  auto Permitted = static_cast<std::size_t>(
      MaxProvenEjectedShare *
      static_cast<double>(Pool.UnprovenCount_ + Pool.ProvenEjected_.size()));
  if (Pool.ProvenEjected_.size() <= Permitted)
    return;
  std::stable_sort(Pool.ProvenEjected_.begin(), Pool.ProvenEjected_.end(),
                   [this](const InstanceId &Left, const InstanceId &Right) {
                     return Instances_.at(Left).EjectedAt_ >
                            Instances_.at(Right).EjectedAt_;
                   });
  while (Pool.ProvenEjected_.size() > Permitted) {
    InstanceHealth &Oldest = Instances_.at(Pool.ProvenEjected_.back());
    if (Now < Oldest.EjectedAt_ + MinEjectionDuration)
      return;
    Oldest.EjectedUntil_ = Now;
    Pool.ProvenEjected_.pop_back();
    ++Pool.UnprovenCount_;
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
    Released.EjectionDuration_ = Duration::zero();
    Ejected.pop_back();
  }
}

std::vector<InstanceId>
OutlierDetector::selectEjected(const ServiceRegistry &Registry,
                               Percentage Floor, TimePoint Now) {
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
    if (IsEjected && Found->second.IsProven_) {
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
    releaseOldest(Pool, Now);
    std::size_t MinInUse = (Pool.UnprovenCount_ * Floor.value() + 99) / 100;
    limitUnproven(Pool.UnprovenEjected_, Pool.UnprovenCount_ - MinInUse, Now);
    Add(Pool.ProvenEjected_);
    Add(Pool.UnprovenEjected_);
  }
  std::sort(Ejected.begin(), Ejected.end());
  return Ejected;
}

} // namespace jaybridge
