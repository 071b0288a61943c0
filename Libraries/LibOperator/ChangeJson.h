#pragma once

#include <LibProfile/ConfigurationCatalog.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// Parses a configuration change: request_id, based_on, author, action
/// (create-profile, update-profile, assign-service) and the fields of the
/// action. Errors are `Invalid` and name the field.
Result<ConfigurationChange>
parseConfigurationChange(const nlohmann::json &Fields, WallTime Now);

/// JSON object with the configuration version and all profiles.
nlohmann::json profilesJson(const ConfigurationSnapshot &Catalog);
/// JSON object with the configuration version and the profile of each service.
nlohmann::json servicesJson(const ConfigurationSnapshot &Catalog);

} // namespace jaybridge
