#pragma once

#include <LibCore/Time.h>

namespace jaybridge {

/// The process's clocks, read by threads that host decision objects.
TimePoint monotonicNow();
WallTime wallNow();

/// The steady clock's point for a time on the process's monotonic time line.
std::chrono::steady_clock::time_point toSteadyTimePoint(TimePoint Time);

} // namespace jaybridge
