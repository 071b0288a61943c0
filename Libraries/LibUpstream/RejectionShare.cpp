#include <LibUpstream/RejectionShare.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

void RejectionShare::recordRun(TimePoint Now) {
  decay(Now);
  Runs_ += 1;
}

void RejectionShare::recordRejection(TimePoint Now) {
  decay(Now);
  Rejections_ += 1;
}

RequestShare RejectionShare::share(TimePoint Now) const {
  double Decay = decayAt(Now);
  return RequestShare(Rejections_ * Decay /
                      ((Rejections_ + Runs_) * Decay + 1));
}

RequestShare RejectionShare::excess(TimePoint Now) const {
  double Decay = decayAt(Now);
  return RequestShare(std::max(0.0, (Rejections_ - 2 * Runs_) * Decay) /
                      ((Rejections_ + Runs_) * Decay + 1));
}

double RejectionShare::rejectionsPerRun(TimePoint Now) const {
  double Decay = decayAt(Now);
  return Rejections_ * Decay / (Runs_ * Decay + 1);
}

double RejectionShare::decayAt(TimePoint Now) const {
  return std::exp2(-static_cast<double>((Now - DecayedAt_).count()) /
                   static_cast<double>(HalfLife_.count()));
}

void RejectionShare::decay(TimePoint Now) {
  double Decay = decayAt(Now);
  Runs_ *= Decay;
  Rejections_ *= Decay;
  DecayedAt_ = Now;
}

} // namespace jaybridge
