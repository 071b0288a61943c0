#pragma once

namespace jaybridge {

/// Prints the broken invariant and its position and stops the process.
[[noreturn]] void reportBrokenInvariant(const char *Expression,
                                        const char *File, int Line);

} // namespace jaybridge

/// Stops the process when an invariant does not hold. Outcomes that can occur
/// in operation are `Result` values instead.
#define JAYBRIDGE_VERIFY(Expression)                                           \
  do {                                                                         \
    if (!(Expression))                                                         \
      ::jaybridge::reportBrokenInvariant(#Expression, __FILE__, __LINE__);     \
  } while (false)
