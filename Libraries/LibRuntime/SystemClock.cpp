#include <LibRuntime/SystemClock.h>

namespace jaybridge {

TimePoint monotonicNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime wallNow() {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point
toSteadyTimePoint(TimePoint MonotonicTime) {
  return std::chrono::steady_clock::time_point(
      MonotonicTime.time_since_epoch());
}

} // namespace jaybridge
