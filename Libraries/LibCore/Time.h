#pragma once

#include <chrono>

namespace jaybridge {

using Duration = std::chrono::microseconds;
using namespace std::chrono_literals;

/// Names the time line of `TimePoint`. It has no `now()`: decision code gets
/// the time as a parameter.
struct MonotonicTimeline;

/// Point on the process's monotonic time line; not comparable between VMs.
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/// Names the time line of `WallTime`.
struct WallTimeline;

/// Milliseconds since 1970 by the VM's clock, which may be wrong.
using WallTime =
    std::chrono::time_point<WallTimeline, std::chrono::milliseconds>;

} // namespace jaybridge
