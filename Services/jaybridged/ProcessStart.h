#pragma once

#include <LibCore/Random.h>
#include <LibHTTP/CallerListener.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace jaybridge {

/// Current wall-clock time in milliseconds since 1970. Used as an incarnation,
/// fence or report number that grows from one start of a process to the next.
std::uint64_t startTimestampMs();

/// Random seed that differs between members, process starts and purposes.
RandomSeed randomSeed(const Settings &DaemonSettings, std::uint64_t Purpose);

/// Options of the caller listener.
CallerListenerOptions callerListenerOptions(const Settings &DaemonSettings);

/// Name and value of each counter of the caller listener, for metrics.
std::vector<std::pair<std::string, EventCount>>
callerMetrics(const CallerListenerCounts &Counts);

} // namespace jaybridge
