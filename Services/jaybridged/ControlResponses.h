#pragma once

#include <LibDirectory/DirectoryMessages.h>
#include <LibHTTP/ControlListener.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

ControlResponse jsonResponse(const nlohmann::json &Body);
/// Problem document (RFC 9457) whose status agrees with the error's code.
ControlResponse problemResponse(const Error &Reason);
/// 200, or 409 with the version that the instance has to exceed.
ControlResponse announcementResponse(const AnnouncementAnswered &Answered);

} // namespace jaybridge
