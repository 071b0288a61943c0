#pragma once

#include <chrono>

namespace jaybridge {

using Duration = std::chrono::microseconds;
using namespace std::chrono_literals;

/// Clock type of `TimePoint`. It has no `now()`, because decision code receives
/// the time as a parameter.
struct MonotonicTimeline;

/// Time on the monotonic clock of this process, in microseconds; not comparable
/// between VMs.
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/// Clock type of `WallTime`.
struct WallTimeline;

/// Milliseconds since 1970 on the wall clock of the VM, which may be set wrong.
using WallTime =
    std::chrono::time_point<WallTimeline, std::chrono::milliseconds>;

} // namespace jaybridge
