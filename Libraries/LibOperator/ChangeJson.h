#pragma once

#include <LibProfile/ConfigurationCatalog.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// Reads a change: request_id, based_on, author, action (create-profile,
/// update-profile, assign-service) and the action's own fields. Errors name
/// the field.
Result<ConfigurationChange>
parseConfigurationChange(const nlohmann::json &Fields, WallTime Now);

/// Version and all profiles.
nlohmann::json profilesJson(const ConfigurationSnapshot &Catalog);
/// Version and all assignments of services to profiles.
nlohmann::json servicesJson(const ConfigurationSnapshot &Catalog);

} // namespace jaybridge
