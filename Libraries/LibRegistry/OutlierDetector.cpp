#include <LibRegistry/OutlierDetector.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

double remaining(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(OutlierDetector::HalfLife.count()));
}

/// What is left of an outcome after six half-lives.
constexpr double NothingHeard = 1.0 / 64;

double weighted(EventCount Count, double Weight) {
  return static_cast<double>(Count.value()) * Weight;
}

} // namespace

void OutlierDetector::record(const AttemptCounts &Seen, TimePoint Now) {
  Standing &Known = Standings_[Seen.Id_];
  // What was under way when the instance was left alone says nothing new.
  if (Now < Known.HeldUntil_)
    return;
  if (Known.Hold_ > Duration::zero() && !Known.IsOnTrial_) {
    Known.IsOnTrial_ = true;
    Known.Failures_ = 0;
    Known.Unreachable_ = 0;
    Known.Successes_ = 0;
  }
  double Kept = remaining(Now - Known.AsOf_);
  Known.Failures_ = Known.Failures_ * Kept + weighted(Seen.Lost_, LostWeight) +
                    weighted(Seen.Errors_, ErrorWeight);
  Known.Unreachable_ = Known.Unreachable_ * Kept +
                       weighted(Seen.Unreachable_, UnreachableWeight);
  Known.Successes_ = Known.Successes_ * Kept + weighted(Seen.Successes_, 1);
  Known.AsOf_ = Now;
  bool IsFailing = Known.Failures_ >= LeastFailures &&
                   Known.Failures_ >= LeastFailureShare * Known.all();
  bool IsUnreachable = Known.bad() >= LeastFailures &&
                       Known.bad() >= LeastUnreachableShare * Known.all();
  if (IsFailing || IsUnreachable)
    hold(Known, Now);
}

void OutlierDetector::hold(Standing &Suspected, TimePoint Now) {
  bool IsTrial = Suspected.IsOnTrial_ && Now < Suspected.HeldUntil_ + TrialTime;
  Suspected.IsOnTrial_ = false;
  Suspected.Hold_ =
      IsTrial ? std::min(LongestHold, 2 * Suspected.Hold_) : FirstHold;
  Suspected.HeldSince_ = Now;
  Suspected.HeldUntil_ = Now + Suspected.Hold_;
  Suspected.Severity_ = Suspected.bad() / Suspected.all();
  Suspected.IsProven_ = IsTrial || Suspected.Severity_ >= ProvenFailureShare;
  Suspected.IsAbsent_ =
      IsTrial && Suspected.Failures_ + Suspected.Successes_ < NothingHeard;
}

bool OutlierDetector::isSuspect(const InstanceId &Id, TimePoint Now) const {
  auto Found = Standings_.find(Id);
  return Found != Standings_.end() && Now < Found->second.HeldUntil_;
}

void OutlierDetector::releaseTroubled(const ServiceRegistry &Registry,
                                      TimePoint Now) {
  std::map<ServiceName, Evidence> Services;
  for (const auto &[Id, Known] : Standings_)
    if (const InstanceRecord *Record = Registry.find(Id);
        Record && !Known.IsAbsent_) {
      double Kept = remaining(Now - Known.AsOf_);
      Evidence &Own = Services[Record->Service_];
      Own.Failures_ += Kept * Known.bad();
      Own.All_ += Kept * Known.all();
    }
  for (auto &[Id, Known] : Standings_) {
    if (Now >= Known.HeldUntil_ || Known.IsAbsent_ ||
        Now < Known.HeldSince_ + ScarceHold)
      continue;
    const InstanceRecord *Record = Registry.find(Id);
    if (!Record)
      continue;
    const Evidence &Own = Services[Record->Service_];
    if (Own.Failures_ > TroubledShare * Own.All_)
      Known.HeldUntil_ = Now;
  }
}

void OutlierDetector::releaseScarce(Pool &Own, TimePoint Now) {
  auto Permitted = static_cast<std::size_t>(
      ScarceShare * static_cast<double>(Own.Others_ + Own.Proven_.size()));
  if (Own.Proven_.size() <= Permitted)
    return;
  std::stable_sort(Own.Proven_.begin(), Own.Proven_.end(),
                   [this](const InstanceId &Left, const InstanceId &Right) {
                     return Standings_.at(Left).HeldSince_ >
                            Standings_.at(Right).HeldSince_;
                   });
  while (Own.Proven_.size() > Permitted) {
    Standing &Oldest = Standings_.at(Own.Proven_.back());
    if (Now < Oldest.HeldSince_ + ScarceHold)
      return;
    Oldest.HeldUntil_ = Now;
    Own.Proven_.pop_back();
    ++Own.Others_;
  }
}

void OutlierDetector::keepWorst(std::vector<InstanceId> &Unproven,
                                std::size_t Permitted, TimePoint Now) {
  if (Unproven.size() <= Permitted)
    return;
  std::stable_sort(Unproven.begin(), Unproven.end(),
                   [this](const InstanceId &Left, const InstanceId &Right) {
                     return Standings_.at(Left).Severity_ >
                            Standings_.at(Right).Severity_;
                   });
  while (Unproven.size() > Permitted) {
    Standing &InUse = Standings_.at(Unproven.back());
    InUse.HeldUntil_ = Now;
    InUse.Hold_ = Duration::zero();
    Unproven.pop_back();
  }
}

std::vector<InstanceId>
OutlierDetector::suspects(const ServiceRegistry &Registry, Percentage Floor,
                          TimePoint Now) {
  releaseTroubled(Registry, Now);
  std::map<ServiceName, Pool> Pools;
  std::vector<InstanceId> Suspected;
  for (const auto &[Id, Record] : Registry.instances()) {
    if (Record.State_ != InstanceState::Serving)
      continue;
    Pool &Own = Pools[Record.Service_];
    auto Known = Standings_.find(Id);
    bool IsHeld = Known != Standings_.end() && Now < Known->second.HeldUntil_;
    if (IsHeld && Known->second.IsAbsent_) {
      Suspected.push_back(Id);
      continue;
    }
    if (IsHeld && Known->second.IsProven_) {
      Own.Proven_.push_back(Id);
      continue;
    }
    ++Own.Others_;
    if (IsHeld)
      Own.Unproven_.push_back(Id);
  }
  auto Add = [&Suspected](const std::vector<InstanceId> &List) {
    Suspected.insert(Suspected.end(), List.begin(), List.end());
  };
  for (auto &[Name, Own] : Pools) {
    releaseScarce(Own, Now);
    std::size_t Kept = (Own.Others_ * Floor.value() + 99) / 100;
    keepWorst(Own.Unproven_, Own.Others_ - Kept, Now);
    Add(Own.Proven_);
    Add(Own.Unproven_);
  }
  std::sort(Suspected.begin(), Suspected.end());
  return Suspected;
}

} // namespace jaybridge
