#pragma once

#include <LibRouting/RoutingExplanation.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// JSON object with the route, the team, and for each service of the route the
/// admission and the instances. Values that are not known are null.
nlohmann::json explanationJson(const RoutingExplanation &Explained);

} // namespace jaybridge
