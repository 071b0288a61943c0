#include <LibCore/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace jaybridge {

void reportInvariantViolation(const char *Expression, const char *File,
                              int Line) {
  std::fprintf(stderr, "invariant violated: %s at %s:%d\n", Expression, File,
               Line);
  std::abort();
}

} // namespace jaybridge
