#include <ControlDaemon.h>
#include <Daemon.h>
#include <GatewayDaemon.h>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace jaybridge {
namespace {

constexpr Duration DrainLimit = std::chrono::minutes(5);

enum class ExitCode { Success = 0, Failure = 1, Usage = 2, CutOff = 3 };

ExitCode fail(const Error &Reason, ExitCode Code) {
  std::fprintf(stderr, "jaybridged: %s\n", Reason.Message_.c_str());
  return Code;
}

/// Written whole under another name first, so that a reader sees all or none.
Status writeAddresses(const std::string &Path, const Daemon &Running) {
  std::string Fresh = Path + ".new";
  std::ofstream(Fresh) << "callers=" << Running.callerAddress().text()
                       << "\nannouncements=" << Running.announceAddress().text()
                       << "\noperators=" << Running.operatorAddress().text()
                       << "\npeers=" << Running.peerAddress().text() << "\n";
  if (std::rename(Fresh.c_str(), Path.c_str()) != 0)
    return Error{ErrorCode::Internal, "cannot write " + Path, "address-file"};
  return success();
}

ExitCode run(const Settings &Given, const sigset_t &StopSignals) {
  auto Running = Daemon::create(Given);
  if (!Running)
    return fail(Running.error(), ExitCode::Failure);
  if (Given.AddressFile_)
    if (auto Written = writeAddresses(*Given.AddressFile_, *Running.value());
        !Written)
      return fail(Written.error(), ExitCode::Failure);
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  return Running.value()->drain(DrainLimit) ? ExitCode::Success
                                            : ExitCode::CutOff;
}

ExitCode runGateway(const Settings &Given, const sigset_t &Signals) {
  auto Running = GatewayDaemon::create(Given);
  if (!Running)
    return fail(Running.error(), ExitCode::Failure);
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Running.value()->noteReload();
  return Running.value()->drain(Given.ShutdownGracePeriod_) ? ExitCode::Success
                                                            : ExitCode::CutOff;
}

ExitCode runControl(const Settings &Given, const sigset_t &Signals) {
  // A member that stopped recovers from its folder when it starts again.
  std::atomic<bool> IsStopped = false;
  auto Running = ControlDaemon::create(Given, [&IsStopped] {
    IsStopped = true;
    kill(getpid(), SIGTERM);
  });
  if (!Running)
    return fail(Running.error(), ExitCode::Failure);
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Running.value()->noteReload();
  return IsStopped ? ExitCode::Failure : ExitCode::Success;
}

ExitCode runDuty(const Settings &Given, const sigset_t &Signals) {
  switch (Given.Duty_) {
  case DaemonDuty::Gateway:
    return runGateway(Given, Signals);
  case DaemonDuty::Control:
    return runControl(Given, Signals);
  case DaemonDuty::All:
    break;
  }
  return run(Given, Signals);
}

} // namespace
} // namespace jaybridge

int main(int Count, char **Arguments) {
  using namespace jaybridge;
  auto Given = readSettings(Count, Arguments);
  if (!Given)
    return static_cast<int>(fail(Given.error(), ExitCode::Usage));
  if (Given.value().IsCheckOnly_) {
    std::puts("settings are valid");
    return static_cast<int>(ExitCode::Success);
  }
  // Blocked before any thread starts, so that only sigwait() sees them.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  if (Given.value().Duty_ != DaemonDuty::All)
    sigaddset(&StopSignals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  return static_cast<int>(runDuty(Given.value(), StopSignals));
}
