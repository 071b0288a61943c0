#include <LibRegistry/RequestQuarantine.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

/// Attempts that are assumed for a service, so that a service with few requests
/// is not judged by a single loss.
constexpr double PriorAttempts = 50;
constexpr double PriorLostRequests = 1;
constexpr double MaxLossRate = 0.5;

} // namespace

RequestQuarantine::ServiceRate &
RequestQuarantine::rateOf(const ServiceName &Service, TimePoint Now) {
  ServiceRate &Rate = Rates_[Service];
  double Decay =
      std::exp2(-static_cast<double>((Now - Rate.UpdatedAt_).count()) /
                static_cast<double>(RateHalfLife.count()));
  Rate.Attempts_ *= Decay;
  Rate.LostRequests_ *= Decay;
  Rate.UpdatedAt_ = Now;
  return Rate;
}

void RequestQuarantine::recordAttempts(const ServiceName &Service,
                                       EventCount Attempts, TimePoint Now) {
  rateOf(Service, Now).Attempts_ += static_cast<double>(Attempts.value());
}

void RequestQuarantine::recordLoss(const ServiceName &Service,
                                   const InstanceStart &Lost,
                                   Fingerprint Request, TimePoint Now) {
  auto Found = Requests_.find(Request);
  if (Found == Requests_.end()) {
    if (Requests_.size() >= MaxObserved)
      evictOldest();
    rateOf(Service, Now).LostRequests_ += 1;
    Found = Requests_.try_emplace(Request).first;
    Found->second.Service_ = Service;
  }
  ObservedRequest &Observed = Found->second;
  Observed.LastLossAt_ = Now;
  if (isQuarantined(Observed, Now))
    return;
  if (Observed.QuarantinedUntil_)
    return quarantine(Request, Now);
  Observed.Lost_.insert(Lost);
  if (!Observed.SuspectedAt_ &&
      Observed.Lost_.size() >= requiredCrashes(Service, Now))
    Observed.SuspectedAt_ = Now;
}

std::size_t RequestQuarantine::requiredCrashes(const ServiceName &Service,
                                               TimePoint Now) {
  const ServiceRate &Rate = rateOf(Service, Now);
  double LossRate =
      std::min(MaxLossRate, (Rate.LostRequests_ + PriorLostRequests) /
                                (Rate.Attempts_ + PriorAttempts));
  // The chance of N losses in a row is the loss rate to the power of N.
  auto Required = static_cast<std::size_t>(
      std::ceil(std::log(MaxChance) / std::log(LossRate)));
  return std::max(MinCrashes, Required);
}

void RequestQuarantine::quarantine(Fingerprint Request, TimePoint Now) {
  ObservedRequest &Crashing = Requests_.at(Request);
  Crashing.SuspectedAt_.reset();
  Crashing.QuarantinedUntil_ = Now + QuarantineDuration;
  for (auto &[Other, Observed] : Requests_) {
    if (Other == Request || Observed.QuarantinedUntil_)
      continue;
    for (const InstanceStart &Explained : Crashing.Lost_)
      Observed.Lost_.erase(Explained);
    if (Observed.Lost_.size() < MinCrashes)
      Observed.SuspectedAt_.reset();
  }
  Crashing.Lost_.clear();
}

RequestVerdicts RequestQuarantine::decide(TimePoint Now) {
  // The request that was lost at most instances explains most of the losses.
  std::vector<std::pair<std::size_t, Fingerprint>> Due;
  for (const auto &[Request, Observed] : Requests_)
    if (Observed.SuspectedAt_ &&
        Now >= *Observed.SuspectedAt_ + ConfirmationDelay)
      Due.emplace_back(Observed.Lost_.size(), Request);
  std::stable_sort(Due.begin(), Due.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  for (const auto &[Losses, Request] : Due)
    if (Requests_.at(Request).SuspectedAt_)
      quarantine(Request, Now);
  expire(Now);
  RequestVerdicts Verdicts;
  for (const auto &[Request, Observed] : Requests_) {
    auto &List = isQuarantined(Observed, Now) ? Verdicts.Quarantined_
                                              : Verdicts.Suspected_;
    bool IsListed = Observed.SuspectedAt_ || Observed.QuarantinedUntil_;
    if (IsListed && List.size() < MaxListed)
      List.push_back(Request);
  }
  return Verdicts;
}

void RequestQuarantine::adopt(const std::vector<Fingerprint> &Quarantined,
                              TimePoint Now) {
  std::erase_if(Requests_, [&](const auto &Entry) {
    return isQuarantined(Entry.second, Now);
  });
  for (Fingerprint Request : Quarantined) {
    if (Requests_.size() >= MaxObserved)
      evictOldest();
    Requests_[Request].QuarantinedUntil_ = Now + QuarantineDuration;
  }
}

void RequestQuarantine::expire(TimePoint Now) {
  std::erase_if(Requests_, [&](const auto &Entry) {
    const ObservedRequest &Observed = Entry.second;
    return Observed.QuarantinedUntil_
               ? Now >= *Observed.QuarantinedUntil_ + ProbationDuration
               : Now >= Observed.LastLossAt_ + SuspicionDuration;
  });
}

void RequestQuarantine::evictOldest() {
  auto LastNeededAt = [](const auto &Entry) {
    return Entry.second.QuarantinedUntil_.value_or(Entry.second.LastLossAt_);
  };
  Requests_.erase(std::min_element(Requests_.begin(), Requests_.end(),
                                   [&](const auto &Left, const auto &Right) {
                                     return LastNeededAt(Left) <
                                            LastNeededAt(Right);
                                   }));
  Evicted_ += EventCount(1);
}

} // namespace jaybridge
