#include <LibRegistry/HealthBoard.h>

#include <cmath>

namespace jaybridge {

namespace {

double remaining(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HealthBoard::HalfLife.count()));
}

} // namespace

void HealthBoard::record(const AttemptTally &Seen, TimePoint Now) {
  Standing &Known = Standings_[Seen.Id_];
  double Kept = remaining(Now - Known.AsOf_);
  Known.Failures_ = Known.Failures_ * Kept +
                    static_cast<double>(Seen.Failures_.value());
  Known.Successes_ = Known.Successes_ * Kept +
                     static_cast<double>(Seen.Successes_.value());
  Known.AsOf_ = Now;
  if (Seen.Failures_ > EventCount(0))
    Known.FailedAt_ = Now;
  if (Seen.Successes_ > EventCount(0))
    Known.AliveAt_ = Now;
}

void HealthBoard::noteAnnounced(const InstanceId &Id, TimePoint Now) {
  Standings_[Id].AliveAt_ = Now;
}

bool HealthBoard::isSuspect(const Standing &Given, TimePoint Now) {
  double Kept = remaining(Now - Given.AsOf_);
  double Failures = Given.Failures_ * Kept;
  double Sum = Failures + Given.Successes_ * Kept;
  bool IsRecent = Now < Given.FailedAt_ + LeastSuspicion;
  return Given.Failures_ >= LeastFailures &&
         (IsRecent || Failures >= LeastFailures) &&
         Failures >= LeastFailureShare * Sum;
}

bool HealthBoard::isSuspect(const InstanceId &Id, TimePoint Now) const {
  auto Found = Standings_.find(Id);
  return Found != Standings_.end() && isSuspect(Found->second, Now);
}

bool HealthBoard::isSilentSince(const InstanceId &Id, TimePoint Since) const {
  auto Found = Standings_.find(Id);
  return Found == Standings_.end() || Found->second.AliveAt_ < Since;
}

std::vector<InstanceId> HealthBoard::suspects(TimePoint Now) const {
  std::vector<InstanceId> Suspected;
  for (const auto &[Id, Known] : Standings_)
    if (isSuspect(Known, Now))
      Suspected.push_back(Id);
  return Suspected;
}

} // namespace jaybridge
