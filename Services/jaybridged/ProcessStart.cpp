#include <ProcessStart.h>

#include <LibCore/Hash.h>
#include <LibRuntime/SystemClock.h>

namespace jaybridge {

std::uint64_t startNumber() {
  return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

RandomSeed seedOf(const Settings &Given, std::uint64_t Purpose) {
  return RandomSeed(
      stableHash(Given.Member_.text(), startNumber() * 31 + Purpose));
}

} // namespace jaybridge
