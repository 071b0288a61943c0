#pragma once

#include <LibProfile/Profile.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// JSON object with the fields of a profile; times in milliseconds, shares in
/// percent.
nlohmann::json toJson(const ProfileDraft &Draft);

/// Returns Draft with the fields of a JSON object applied. Errors are `Invalid`
/// and name a field that is unknown or has a value of the wrong type;
/// `Profile::create` checks the permitted ranges.
Result<ProfileDraft> parseProfileDraft(const nlohmann::json &Fields,
                                       ProfileDraft Draft);

} // namespace jaybridge
