#include <ControlResponses.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

StatusCode httpStatusFor(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
    return StatusCode(422);
  case ErrorCode::Conflict:
    return StatusCode(409);
  case ErrorCode::NotFound:
    return StatusCode(404);
  case ErrorCode::Unauthorized:
    return StatusCode(401);
  case ErrorCode::Unavailable:
  case ErrorCode::TimedOut:
  case ErrorCode::Full:
    return StatusCode(503);
  default:
    return StatusCode(500);
  }
}

} // namespace

ControlResponse jsonResponse(const Json &Body) {
  return ControlResponse{StatusCode(200), "application/json", Body.dump()};
}

ControlResponse problemResponse(const Error &Reason) {
  StatusCode Status = httpStatusFor(Reason.Code_);
  Json Body = {{"title", errorCodeName(Reason.Code_)},
               {"status", Status.value()},
               {"detail", Reason.Message_}};
  if (!Reason.Field_.empty())
    Body["field"] = Reason.Field_;
  return ControlResponse{Status, "application/problem+json", Body.dump()};
}

ControlResponse announcementResponse(const AnnouncementAnswered &Answered) {
  if (Answered.IsAccepted_)
    return jsonResponse({{"accepted", true}});
  Json Body = {{"accepted", false},
               {"version_in_force", Answered.CurrentIncarnation_.value()}};
  return ControlResponse{StatusCode(409), "application/json", Body.dump()};
}

} // namespace jaybridge
