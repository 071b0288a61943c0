#pragma once

#include <LibCore/Quantity.h>

#include <cstdint>

namespace jaybridge {

/// Priority of a route or team; 0 is the highest.
using RoutePriority = Quantity<struct RoutePriorityTag, std::uint32_t>;

} // namespace jaybridge
