#pragma once

#include <string>

namespace jaybridge {

enum class ErrorCode {
  Invalid,
  Conflict,
  NotFound,
  Unauthorized,
  Unavailable,
  Full,
  Damaged,
  TimedOut,
  Internal,
};

/// Stable machine-readable name of an error code.
const char *errorCodeName(ErrorCode Code);

/// An expected failure. `Field_` names the setting or profile field that caused
/// it, and is empty for other failures.
struct Error {
  ErrorCode Code_ = ErrorCode::Internal;
  std::string Message_;
  std::string Field_;

  friend bool operator==(const Error &, const Error &) = default;
};

} // namespace jaybridge
