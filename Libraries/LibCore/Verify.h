#pragma once

namespace jaybridge {

/// Prints the violated invariant and its source location to standard error and
/// aborts the process.
[[noreturn]] void reportInvariantViolation(const char *Expression,
                                           const char *File, int Line);

} // namespace jaybridge

/// Aborts the process when an invariant does not hold. Failures that can occur
/// in operation are returned as `Result` values instead.
#define JAYBRIDGE_VERIFY(Expression)                                           \
  do {                                                                         \
    if (!(Expression))                                                         \
      ::jaybridge::reportInvariantViolation(#Expression, __FILE__, __LINE__);  \
  } while (false)
