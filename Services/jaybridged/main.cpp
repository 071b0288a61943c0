#include <Daemon.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>

DEFINE_string(member_id, "", "unique id of this daemon");
DEFINE_string(failure_domain, "", "failure domain of this VM");
DEFINE_string(caller_address, "127.0.0.1:0", "A.B.C.D:PORT for callers");
DEFINE_string(announce_address, "127.0.0.1:0", "A.B.C.D:PORT for upstreams");
DEFINE_string(operator_address, "127.0.0.1:0", "A.B.C.D:PORT for operators");
DEFINE_string(announce_token_file, "", "file with the upstreams' token");
DEFINE_string(operator_token_file, "", "file with the operators' token");
DEFINE_string(address_file, "", "file for the addresses in use");

namespace jaybridge {
namespace {

constexpr Duration DrainLimit = std::chrono::minutes(5);

Result<DaemonOptions> readOptions() {
  JAYBRIDGE_TRY(Endpoint Callers, Endpoint::create(FLAGS_caller_address));
  JAYBRIDGE_TRY(Endpoint Announce, Endpoint::create(FLAGS_announce_address));
  JAYBRIDGE_TRY(Endpoint Operators, Endpoint::create(FLAGS_operator_address));
  JAYBRIDGE_TRY(AccessToken AnnounceToken,
                AccessToken::readFile(FLAGS_announce_token_file));
  JAYBRIDGE_TRY(AccessToken OperatorToken,
                AccessToken::readFile(FLAGS_operator_token_file));
  return DaemonOptions{
      MemberId(FLAGS_member_id), FailureDomain(FLAGS_failure_domain),
      std::move(Callers),        std::move(Announce),
      std::move(Operators),      std::move(AnnounceToken),
      std::move(OperatorToken)};
}

void writeAddresses(const Daemon &Running) {
  std::string Temporary = FLAGS_address_file + ".new";
  std::ofstream(Temporary) << "callers=" << Running.callerAddress().text()
                           << "\nannouncements="
                           << Running.announceAddress().text()
                           << "\noperators=" << Running.operatorAddress().text()
                           << "\n";
  std::rename(Temporary.c_str(), FLAGS_address_file.c_str());
}

int run(const sigset_t &StopSignals) {
  auto Options = readOptions();
  if (!Options) {
    std::fprintf(stderr, "jaybridged: %s\n", Options.error().Message_.c_str());
    return 2;
  }
  auto Running = Daemon::create(Options.takeValue());
  if (!Running) {
    std::fprintf(stderr, "jaybridged: %s\n", Running.error().Message_.c_str());
    return 1;
  }
  if (!FLAGS_address_file.empty())
    writeAddresses(*Running.value());
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  return Running.value()->drain(DrainLimit) ? 0 : 1;
}

} // namespace
} // namespace jaybridge

int main(int Count, char **Words) {
  gflags::SetVersionString(JAYBRIDGE_VERSION);
  gflags::ParseCommandLineFlags(&Count, &Words, true);
  // Blocked before any thread starts, so that only sigwait() sees them.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  return jaybridge::run(StopSignals);
}
