#pragma once

#include <LibControl/FleetMessages.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// Members with the version in force at each, and services with counts of
/// their instances.
nlohmann::json statusJson(const OperatorStatusResponse &Found);

} // namespace jaybridge
