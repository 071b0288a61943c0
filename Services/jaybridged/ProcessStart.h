#pragma once

#include <LibCore/Random.h>
#include <LibSettings/Settings.h>

#include <cstdint>

namespace jaybridge {

/// Current wall-clock time in milliseconds since 1970. Used as an incarnation,
/// fence or report number that grows from one start of a process to the next.
std::uint64_t startTimestampMs();

/// Random seed that differs between members, process starts and purposes.
RandomSeed randomSeed(const Settings &DaemonSettings, std::uint64_t Purpose);

} // namespace jaybridge
