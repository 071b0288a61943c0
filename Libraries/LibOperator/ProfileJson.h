#pragma once

#include <LibProfile/Profile.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// The profile's fields under their public names, times in milliseconds,
/// shares in percent.
nlohmann::json toJson(const ProfileDraft &Draft);

/// Reads the fields that are present into Base. Errors name a field that is
/// unknown, or whose value is not of its type; the permitted ranges are
/// `Profile::create`'s.
Result<ProfileDraft> parseProfileDraft(const nlohmann::json &Fields,
                                       ProfileDraft Base);

} // namespace jaybridge
