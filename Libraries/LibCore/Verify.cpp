#include <LibCore/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace jaybridge {

void reportBrokenInvariant(const char *Expression, const char *File, int Line) {
  std::fprintf(stderr, "broken invariant: %s at %s:%d\n", Expression, File,
               Line);
  std::abort();
}

} // namespace jaybridge
