#pragma once

#include <LibCore/Time.h>

#include <vector>

namespace jaybridge {

/// Baseline for comparison: a gateway that ejects an instance on its own for
/// 30 s after five failures in a row.
class ConsecutiveFailures {
public:
  explicit ConsecutiveFailures(std::size_t Instances)
      : InARow_(Instances), Until_(Instances) {}

  /// True when the instance is ejected by this observation.
  bool observe(std::size_t Instance, bool IsFailed, TimePoint Now) {
    constexpr unsigned Greatest = 5;
    InARow_[Instance] = IsFailed ? InARow_[Instance] + 1 : 0;
    if (InARow_[Instance] < Greatest)
      return false;
    InARow_[Instance] = 0;
    Until_[Instance] = Now + std::chrono::seconds(30);
    return true;
  }
  bool isEjected(std::size_t Instance, TimePoint Now) const {
    return Now < Until_[Instance];
  }

private:
  std::vector<unsigned> InARow_;
  std::vector<TimePoint> Until_;
};

} // namespace jaybridge
