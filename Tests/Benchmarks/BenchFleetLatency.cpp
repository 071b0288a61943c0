// Measures the latency that six daemons in three failure domains add to
// repeatable requests and to requests with an idempotency key. For comparison,
// the same run sends requests directly to the same upstreams. The load
// generator is open loop: a request that is sent late counts the delay as
// latency.

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
/// 1,000 requests per second: about a sixth of the capacity of 28 slots at 5 ms
/// per request.
constexpr Duration RequestInterval = 1ms;
/// Ledger replicas abstain on keys made in the first 30 s after their start.
constexpr unsigned LedgerWarmupSeconds = 35;

std::string toText(std::size_t Value) { return std::to_string(Value); }

bool startFleet(ProcessFleet &Fleet) {
  Fleet.setControlMembers({"d0", "d1", "d2"});
  for (std::size_t I = 0; I < DaemonCount; ++I)
    if (!Fleet.startDaemon({"d" + toText(I), Domains[I % 3],
                            "127.1." + toText(I % 3 + 1) + "." + toText(I + 1),
                            I < 3}))
      return false;
  for (const char *Service : {"reads", "orders"})
    for (std::size_t I = 0; I < InstanceCount; ++I)
      Fleet.startUpstream({Service + toText(I),
                           Service,
                           Domains[I % 3],
                           "127.1." + toText(I % 3 + 1) + "." + toText(I + 20),
                           {}});
  auto SucceedsEventually = [&](std::vector<std::string> Arguments) {
    return ProcessFleet::waitUntil(
        [&] { return Fleet.runTool(Arguments).first == 0; });
  };
  return SucceedsEventually({"profile", "create", "reads", "--repeatable",
                             "--request_id=1"}) &&
         SucceedsEventually(
             {"profile", "create", "orders", "--request_id=2"}) &&
         SucceedsEventually({"service", "assign", "reads", "--profile=reads",
                             "--request_id=3"}) &&
         SucceedsEventually({"service", "assign", "orders", "--profile=orders",
                             "--request_id=4"});
}

/// Makes an idempotency key: a UUID version 7 with the current time and a
/// sequence number.
std::string makeIdempotencyKey() {
  static std::uint64_t LastSequence = 0;
  auto Milliseconds = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012llx",
                Milliseconds >> 16, Milliseconds & 0xffff,
                static_cast<unsigned long long>(++LastSequence));
  return Text;
}

enum class RequestRoute { Direct, ThroughFleet, ThroughFleetKeyed };

std::vector<LoadRequest> planRequests(ProcessFleet &Fleet, RequestRoute Route) {
  std::vector<LoadRequest> Requests(RequestCount);
  for (std::size_t I = 0; I < RequestCount; ++I) {
    LoadRequest &Planned = Requests[I];
    Planned.SendOffset_ = RequestInterval * static_cast<Duration::rep>(I);
    if (Route == RequestRoute::Direct) {
      Planned.Target_ =
          Fleet.upstreamAddress("reads" + toText(I % InstanceCount)).value();
      Planned.Path_ = "/q";
      continue;
    }
    Planned.Target_ = Fleet.addressesOf("d" + toText(I % DaemonCount)).Callers_;
    Planned.Path_ =
        Route == RequestRoute::ThroughFleet ? "/reads/q" : "/orders/q";
    if (Route == RequestRoute::ThroughFleetKeyed) {
      Planned.Method_ = "POST";
      Planned.Headers_.push_back("Idempotency-Key: " + makeIdempotencyKey());
    }
  }
  return Requests;
}

void measure(ProcessFleet &Fleet, const char *Name, RequestRoute Route) {
  std::vector<LoadResponse> Responses = runLoad(planRequests(Fleet, Route), {});
  std::vector<Duration> Latencies;
  for (const LoadResponse &Response : Responses)
    if (Response.Status_ == 200)
      Latencies.push_back(Response.Latency_);
  std::printf("%-24s %5zu of %zu answered, p50 %6ld us, p99 %6ld us, "
              "p99.9 %6ld us\n",
              Name, Latencies.size(), Responses.size(),
              static_cast<long>(quantile(Latencies, 0.5).count()),
              static_cast<long>(quantile(Latencies, 0.99).count()),
              static_cast<long>(quantile(Latencies, 0.999).count()));
}

int run() {
  ProcessFleet Fleet;
  if (!startFleet(Fleet)) {
    std::fputs("the test fleet failed to start\n", stderr);
    return 1;
  }
  ::sleep(LedgerWarmupSeconds);
  for (int Round = 0; Round < 2; ++Round) {
    measure(Fleet, "direct", RequestRoute::Direct);
    measure(Fleet, "through the fleet", RequestRoute::ThroughFleet);
    measure(Fleet, "through the fleet, keyed", RequestRoute::ThroughFleetKeyed);
  }
  return 0;
}

} // namespace
} // namespace jaybridge

int main() { return jaybridge::run(); }
