#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <ctime>
#include <functional>

namespace jaybridge {

/// Processor time that this thread has used.
inline Duration threadTime() {
  std::timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Used.tv_sec) +
      std::chrono::nanoseconds(Used.tv_nsec));
}

/// Least processor time of the work in several runs, which other load on the
/// machine disturbs less than the mean.
inline Duration leastThreadTime(const std::function<void()> &Work) {
  constexpr int Runs = 5;
  Duration Least = Duration::max();
  for (int Run = 0; Run < Runs; ++Run) {
    const Duration Start = threadTime();
    Work();
    Least = std::min(Least, threadTime() - Start);
  }
  return Least;
}

} // namespace jaybridge
