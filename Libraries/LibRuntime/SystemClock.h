#pragma once

#include <LibCore/Time.h>

namespace jaybridge {

/// Current time of the monotonic clock. Decision objects never read a clock;
/// their threads pass the time to them.
TimePoint monotonicNow();
/// Current time of the system's real-time clock.
WallTime wallNow();

/// Converts a time of monotonicNow() for use with std::chrono::steady_clock.
std::chrono::steady_clock::time_point
toSteadyTimePoint(TimePoint MonotonicTime);

} // namespace jaybridge
