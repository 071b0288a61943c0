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

/// Stable lower-case name of an error code, for machine-readable output.
const char *errorCodeName(ErrorCode Code);

/// An expected failure. `Field_` names the setting or profile field that is at
/// fault, and is empty otherwise.
struct Error {
  ErrorCode Code_ = ErrorCode::Internal;
  std::string Message_;
  std::string Field_;

  friend bool operator==(const Error &, const Error &) = default;
};

} // namespace jaybridge
