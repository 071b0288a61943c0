#pragma once

#include <LibCore/Random.h>
#include <LibSettings/Settings.h>

#include <cstdint>

namespace jaybridge {

/// Grows from one start of a process to the next: the wall clock in
/// milliseconds.
std::uint64_t startNumber();

/// Differs between members, starts and purposes.
RandomSeed seedOf(const Settings &Given, std::uint64_t Purpose);

} // namespace jaybridge
