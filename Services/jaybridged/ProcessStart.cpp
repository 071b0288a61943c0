#include <ProcessStart.h>

#include <LibCore/Hash.h>
#include <LibRuntime/SystemClock.h>

namespace jaybridge {

std::uint64_t startTimestampMs() {
  return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

RandomSeed randomSeed(const Settings &DaemonSettings, std::uint64_t Purpose) {
  return RandomSeed(stableHash(DaemonSettings.Member_.text(),
                               startTimestampMs() * 31 + Purpose));
}

} // namespace jaybridge
