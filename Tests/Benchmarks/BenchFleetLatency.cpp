// Prints the latency that six daemons in three failure domains add to
// repeatable and to keyed requests, beside the same upstreams asked directly
// in the same run. Open loop; a late start counts as latency.

#include <Support/LoadClient.h>
#include <Support/ProcessFleet.h>

#include <chrono>
#include <cstdio>

namespace jaybridge {
namespace {

constexpr const char *Domains[] = {"a", "b", "c"};
constexpr std::size_t DaemonCount = 6;
constexpr std::size_t InstanceCount = 7;
constexpr std::size_t RequestCount = 6000;
/// 1,000 requests a second: a sixth of what 28 slots of 5 ms can serve.
constexpr Duration Interval = 1ms;
/// Ledger replicas abstain on keys of the first 30 s after their start.
constexpr unsigned LedgerStartSeconds = 35;

std::string number(std::size_t Value) { return std::to_string(Value); }

bool startFleet(ProcessFleet &Fleet) {
  Fleet.setControlMembers({"d0", "d1", "d2"});
  for (std::size_t I = 0; I < DaemonCount; ++I)
    if (!Fleet.startDaemon({"d" + number(I), Domains[I % 3],
                            "127.1." + number(I % 3 + 1) + "." + number(I + 1),
                            I < 3}))
      return false;
  for (const char *Service : {"reads", "orders"})
    for (std::size_t I = 0; I < InstanceCount; ++I)
      Fleet.startUpstream({Service + number(I),
                           Service,
                           Domains[I % 3],
                           "127.1." + number(I % 3 + 1) + "." + number(I + 20),
                           {}});
  auto IsDone = [&](std::vector<std::string> Words) {
    return ProcessFleet::waitUntil(
        [&] { return Fleet.runTool(Words).first == 0; });
  };
  return IsDone({"profile", "create", "reads", "--repeatable",
                 "--request_id=1"}) &&
         IsDone({"profile", "create", "orders", "--request_id=2"}) &&
         IsDone({"service", "assign", "reads", "--profile=reads",
                 "--request_id=3"}) &&
         IsDone({"service", "assign", "orders", "--profile=orders",
                 "--request_id=4"});
}

/// A UUID version 7 with the time of now and a running number.
std::string newKey() {
  static std::uint64_t Last = 0;
  auto Milliseconds = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012llx",
                Milliseconds >> 16, Milliseconds & 0xffff,
                static_cast<unsigned long long>(++Last));
  return Text;
}

enum class Path { Direct, ThroughFleet, ThroughFleetWithKey };

std::vector<LoadRequest> plan(ProcessFleet &Fleet, Path Way) {
  std::vector<LoadRequest> Requests(RequestCount);
  for (std::size_t I = 0; I < RequestCount; ++I) {
    LoadRequest &Each = Requests[I];
    Each.SendOffset_ = Interval * static_cast<Duration::rep>(I);
    if (Way == Path::Direct) {
      Each.Target_ =
          Fleet.upstreamAddress("reads" + number(I % InstanceCount)).value();
      Each.Path_ = "/q";
      continue;
    }
    Each.Target_ = Fleet.addressesOf("d" + number(I % DaemonCount)).Callers_;
    Each.Path_ = Way == Path::ThroughFleet ? "/reads/q" : "/orders/q";
    if (Way == Path::ThroughFleetWithKey) {
      Each.Method_ = "POST";
      Each.Headers_.push_back("Idempotency-Key: " + newKey());
    }
  }
  return Requests;
}

void measure(ProcessFleet &Fleet, const char *Name, Path Way) {
  std::vector<LoadResponse> Answers = runLoad(plan(Fleet, Way), {});
  std::vector<Duration> Latencies;
  for (const LoadResponse &Answer : Answers)
    if (Answer.Status_ == 200)
      Latencies.push_back(Answer.Latency_);
  std::printf("%-24s %5zu of %zu answered, p50 %6ld us, p99 %6ld us, "
              "p99.9 %6ld us\n",
              Name, Latencies.size(), Answers.size(),
              static_cast<long>(quantile(Latencies, 0.5).count()),
              static_cast<long>(quantile(Latencies, 0.99).count()),
              static_cast<long>(quantile(Latencies, 0.999).count()));
}

int run() {
  ProcessFleet Fleet;
  if (!startFleet(Fleet)) {
    std::fputs("the fleet did not start\n", stderr);
    return 1;
  }
  ::sleep(LedgerStartSeconds);
  for (int Round = 0; Round < 2; ++Round) {
    measure(Fleet, "direct", Path::Direct);
    measure(Fleet, "through the fleet", Path::ThroughFleet);
    measure(Fleet, "through it with a key", Path::ThroughFleetWithKey);
  }
  return 0;
}

} // namespace
} // namespace jaybridge

int main() { return jaybridge::run(); }
