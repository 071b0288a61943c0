#include <LibRegistry/HealthBoard.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

double remaining(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HealthBoard::HalfLife.count()));
}

double weighted(EventCount Count, double Weight) {
  return static_cast<double>(Count.value()) * Weight;
}

} // namespace

void HealthBoard::record(const AttemptTally &Seen, TimePoint Now) {
  Standing &Known = Standings_[Seen.Id_];
  // What was under way when the instance was left alone says nothing new.
  if (Now < Known.HeldUntil_)
    return;
  double Kept = remaining(Now - Known.AsOf_);
  Known.Failures_ = Known.Failures_ * Kept + weighted(Seen.Lost_, LostWeight) +
                    weighted(Seen.Errors_, ErrorWeight) +
                    weighted(Seen.Unreachable_, UnreachableWeight);
  Known.Successes_ = Known.Successes_ * Kept + weighted(Seen.Successes_, 1);
  Known.AsOf_ = Now;
  if (Known.Failures_ >= LeastFailures &&
      Known.Failures_ >=
          LeastFailureShare * (Known.Failures_ + Known.Successes_))
    hold(Known, Now);
}

void HealthBoard::hold(Standing &Suspected, TimePoint Now) {
  bool IsTrial = Suspected.Hold_ > Duration::zero() &&
                 Now < Suspected.HeldUntil_ + TrialTime;
  Suspected.Hold_ =
      IsTrial ? std::min(LongestHold, 2 * Suspected.Hold_) : FirstHold;
  Suspected.HeldUntil_ = Now + Suspected.Hold_;
  Suspected.Failures_ = 0;
  Suspected.Successes_ = 0;
}

bool HealthBoard::isSuspect(const InstanceId &Id, TimePoint Now) const {
  auto Found = Standings_.find(Id);
  return Found != Standings_.end() && Now < Found->second.HeldUntil_;
}

std::vector<InstanceId> HealthBoard::suspects(TimePoint Now) const {
  std::vector<InstanceId> Suspected;
  for (const auto &[Id, Known] : Standings_)
    if (Now < Known.HeldUntil_)
      Suspected.push_back(Id);
  return Suspected;
}

} // namespace jaybridge
