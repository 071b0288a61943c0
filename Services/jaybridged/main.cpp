#include <ControlDaemon.h>
#include <Daemon.h>
#include <GatewayDaemon.h>

#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace jaybridge {
namespace {

enum class ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2,
  DrainIncomplete = 3
};

ExitCode reportError(const Error &Reason, ExitCode Code) {
  std::fprintf(stderr, "jaybridged: %s\n", Reason.Message_.c_str());
  return Code;
}

/// Writes a temporary file and renames it, so that readers never see a partial
/// file.
Status writeAddressFile(const std::string &Path, const Daemon &Running) {
  std::string TemporaryPath = Path + ".new";
  std::ofstream(TemporaryPath)
      << "callers=" << Running.callerAddress().text()
      << "\nannouncements=" << Running.announceAddress().text()
      << "\noperators=" << Running.operatorAddress().text()
      << "\npeers=" << Running.peerAddress().text() << "\n";
  if (std::rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    return Error{ErrorCode::Internal, "cannot write " + Path, "address-file"};
  return success();
}

ExitCode runAll(const Settings &DaemonSettings, const sigset_t &StopSignals) {
  auto Running = Daemon::create(DaemonSettings);
  if (!Running)
    return reportError(Running.error(), ExitCode::Failure);
  if (DaemonSettings.AddressFile_)
    if (auto Written =
            writeAddressFile(*DaemonSettings.AddressFile_, *Running.value());
        !Written)
      return reportError(Written.error(), ExitCode::Failure);
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  return Running.value()->drain(DaemonSettings.ShutdownGracePeriod_)
             ? ExitCode::Success
             : ExitCode::DrainIncomplete;
}

ExitCode runGateway(const Settings &DaemonSettings, const sigset_t &Signals) {
  auto Running = GatewayDaemon::create(DaemonSettings);
  if (!Running)
    return reportError(Running.error(), ExitCode::Failure);
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Running.value()->logReload();
  return Running.value()->drain(DaemonSettings.ShutdownGracePeriod_)
             ? ExitCode::Success
             : ExitCode::DrainIncomplete;
}

ExitCode runControl(const Settings &DaemonSettings, const sigset_t &Signals) {
  // A stopped member ends its process; after a restart it recovers from its
  // data folder.
  std::atomic<bool> IsStopped = false;
  auto Running = ControlDaemon::create(DaemonSettings, [&IsStopped] {
    IsStopped = true;
    kill(getpid(), SIGTERM);
  });
  if (!Running)
    return reportError(Running.error(), ExitCode::Failure);
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Running.value()->logReload();
  return IsStopped ? ExitCode::Failure : ExitCode::Success;
}

ExitCode runDuty(const Settings &DaemonSettings, const sigset_t &Signals) {
  switch (DaemonSettings.Duty_) {
  case DaemonDuty::Gateway:
    return runGateway(DaemonSettings, Signals);
  case DaemonDuty::Control:
    return runControl(DaemonSettings, Signals);
  case DaemonDuty::All:
    break;
  }
  return runAll(DaemonSettings, Signals);
}

} // namespace
} // namespace jaybridge

int main(int ArgumentCount, char **Arguments) {
  using namespace jaybridge;
  auto DaemonSettings = readSettings(ArgumentCount, Arguments);
  if (!DaemonSettings)
    return static_cast<int>(
        reportError(DaemonSettings.error(), ExitCode::Usage));
  if (DaemonSettings.value().IsCheckOnly_) {
    std::puts("settings are valid");
    return static_cast<int>(ExitCode::Success);
  }
  // Bodies above this size get their own mapping, whose pages exist only once
  // they are written and return to the system when it is freed. Without a fixed
  // value glibc raises the threshold up to 32 MiB as bodies are freed.
  constexpr int MappingThreshold = 128 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, MappingThreshold);
  // The signals are blocked before any thread starts, so that only sigwait()
  // receives them.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  if (DaemonSettings.value().Duty_ != DaemonDuty::All)
    sigaddset(&StopSignals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  return static_cast<int>(runDuty(DaemonSettings.value(), StopSignals));
}
