#pragma once

#include <LibCore/Time.h>

#include <vector>

namespace jaybridge {

/// Baseline for comparison: a gateway that ejects an instance on its own for
/// 30 s after five failures in a row.
class ConsecutiveFailureDetector {
public:
  explicit ConsecutiveFailureDetector(std::size_t Instances)
      : FailuresInRow_(Instances), EjectedUntil_(Instances) {}

  /// Records the result of a request. Returns true when it ejects the instance.
  bool observe(std::size_t Instance, bool IsFailed, TimePoint Now) {
    constexpr unsigned EjectionThreshold = 5;
    FailuresInRow_[Instance] = IsFailed ? FailuresInRow_[Instance] + 1 : 0;
    if (FailuresInRow_[Instance] < EjectionThreshold)
      return false;
    FailuresInRow_[Instance] = 0;
    EjectedUntil_[Instance] = Now + std::chrono::seconds(30);
    return true;
  }
  bool isEjected(std::size_t Instance, TimePoint Now) const {
    return Now < EjectedUntil_[Instance];
  }

private:
  std::vector<unsigned> FailuresInRow_;
  std::vector<TimePoint> EjectedUntil_;
};

} // namespace jaybridge
