#include <ProcessStart.h>

#include <LibCore/Hash.h>
#include <LibRuntime/SystemClock.h>

#include <sys/resource.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr std::uint64_t DefaultConnections = 4096;
/// Descriptors of upstream connections, control connections and files.
constexpr std::uint64_t OtherDescriptors = 1024;
/// Descriptors for callers when the process may open only a few.
constexpr std::uint64_t MinConnections = 64;

ConnectionCount connectionsLimit(const Settings &DaemonSettings) {
  if (const auto &Limit = DaemonSettings.CallerConnectionsLimit_)
    return ConnectionCount(static_cast<std::uint32_t>(Limit->value()));
  rlimit Descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &Descriptors) != 0)
    return ConnectionCount(DefaultConnections);
  const std::uint64_t Total = Descriptors.rlim_cur;
  const std::uint64_t Usable =
      std::max(MinConnections, Total - std::min(Total, OtherDescriptors));
  return ConnectionCount(
      static_cast<std::uint32_t>(std::min(DefaultConnections, Usable)));
}

} // namespace

std::uint64_t startTimestampMs() {
  return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

RandomSeed randomSeed(const Settings &DaemonSettings, std::uint64_t Purpose) {
  return RandomSeed(stableHash(DaemonSettings.Member_.text(),
                               startTimestampMs() * 31 + Purpose));
}

CallerListenerOptions callerListenerOptions(const Settings &DaemonSettings) {
  CallerListenerOptions Options;
  Options.Address_ = DaemonSettings.CallerAddress_;
  Options.Member_ = DaemonSettings.Member_;
  Options.StartedAt_ = wallNow();
  Options.BodyLimit_ = DaemonSettings.BodyLimit_;
  Options.MaxConnections_ = connectionsLimit(DaemonSettings);
  Options.ReceiveLimit_ = DaemonSettings.ReceiveLimit_;
  return Options;
}

std::vector<std::pair<std::string, EventCount>>
callerMetrics(const CallerListenerCounts &Counts) {
  const std::pair<const char *, CallerEvent> Names[] = {
      {"malformed", CallerEvent::Malformed},
      {"body_too_large", CallerEvent::BodyTooLarge},
      {"memory_refused", CallerEvent::BudgetRefused},
      {"memory_cut_off", CallerEvent::BudgetCutOff},
      {"head_timeouts", CallerEvent::HeadTimeout},
      {"body_timeouts", CallerEvent::BodyTimeout},
      {"not_reading", CallerEvent::WriteStalled},
      {"idle_closed", CallerEvent::IdleClosed},
      {"accept_failures", CallerEvent::AcceptFailed}};
  std::vector<std::pair<std::string, EventCount>> Metrics;
  for (const auto &[Name, Event] : Names)
    Metrics.emplace_back(std::string("jaybridge_callers_") + Name,
                         Counts.of(Event));
  return Metrics;
}

} // namespace jaybridge
