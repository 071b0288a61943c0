#include <LibCore/Error.h>

namespace jaybridge {

const char *errorCodeName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
    return "invalid";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::NotFound:
    return "not-found";
  case ErrorCode::Unauthorized:
    return "unauthorized";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Full:
    return "full";
  case ErrorCode::Damaged:
    return "damaged";
  case ErrorCode::TimedOut:
    return "timed-out";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace jaybridge
