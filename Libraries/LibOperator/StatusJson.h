#pragma once

#include <LibControl/FleetMessages.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// JSON object with the members, the configuration version in force at each,
/// and the services with their numbers of instances.
nlohmann::json statusJson(const OperatorStatusResponse &Status);

} // namespace jaybridge
