#pragma once

#include <LibDirectory/DirectoryMessages.h>
#include <LibHTTP/ControlListener.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// 200 with a JSON body.
ControlResponse jsonResponse(const nlohmann::json &Body);
/// Problem document (RFC 9457) with the HTTP status for the error's code.
ControlResponse problemResponse(const Error &Reason);
/// 200 when accepted, or 409 with the current version, which the next
/// announcement of the instance has to exceed.
ControlResponse announcementResponse(const AnnouncementAnswered &Answered);

} // namespace jaybridge
