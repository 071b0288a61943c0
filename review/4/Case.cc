// Instances leave while all processes of the core are killed and come back.
#include "Harness.hh"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr int ControlCount = 5;
constexpr int GatewayCount = 3;
constexpr int ServiceCount = 3;
/// Instances that stay, of all services.
constexpr int StayingCount = 12;
/// Four instances of each service leave at a time, as in a release.
constexpr int LeavingCount = 4 * ServiceCount;
/// Time after which new instances get requests.
constexpr long JoinedMs = 1500;
constexpr long ReturnMs = 300;
/// An instance that still gets requests this long after the acknowledgement is
/// observed; otherwise the next round begins.
constexpr long QuietMs = 700;
constexpr long DrainMs = 2000;
constexpr long StableWindowMs = 3000;
/// Instances go on serving after the acknowledgement, at times for many
/// seconds.
constexpr long ServedAfterMs = 7000;
constexpr long EndMs = 102000;

std::string configuration() {
  std::string Routes;
  std::string Services;
  for (int Index = 0; Index < ServiceCount; ++Index) {
    std::string Name = "orders" + std::to_string(Index);
    std::string Comma = Index == 0 ? "" : ",";
    Routes += Comma + "\"r-" + Name +
              R"(":{"Host":"shop.example","PathPrefix":"/)" + Name +
              R"(/","Kind":"unsafe","TimeoutS":3000,"TargetLatencyS":1000,)"
              R"("Priority":1,"Service":")" +
              Name + R"(","MaxAttempts":2})";
    Services += Comma + "\"" + Name +
                R"(":{"HealthPath":"/health","MaxConns":390,)"
                R"("Protocol":"h1","Tls":false})";
  }
  return R"({"Version":1,"Routes":{)" + Routes + R"(},"Services":{)" +
         Services +
         R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutS":3000,"IdleTimeoutS":15000}})";
}

Call putOf(const std::string &Path, const std::string &Body) {
  Call Put;
  Put.Method_ = "PUT";
  Put.Path_ = Path;
  Put.Headers_ = {"Content-Type: application/json"};
  Put.Body_ = Body;
  return Put;
}

std::unique_ptr<Instance> startInstance(int Number, const Deployment &Fleet,
                                        Record &Log) {
  InstanceOptions Options;
  Options.Id_ = "i-" + std::to_string(Number);
  Options.Service_ = "orders" + std::to_string(Number % ServiceCount);
  Options.Address_ = "127.32." + std::to_string(Number % 3 + 1) + ".1";
  Options.Zone_ = "zone-" + std::to_string(Number % 3);
  auto Started = std::make_unique<Instance>(Options, Fleet, Log);
  Started->startHeartbeats();
  return Started;
}

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Deployment Fleet(ControlCount, GatewayCount);
  Fleet.start();
  ControlCaller Operator(Fleet, 1);
  if (Operator
          .call(putOf("/jaybridge/config", configuration()), nowMs() + 20000)
          .Status_ != 200)
    cannotRun("the configuration is not accepted");
  int Number = 0;
  std::vector<std::unique_ptr<Instance>> Staying;
  while (Number < StayingCount)
    Staying.push_back(startInstance(Number++, Fleet, Log));
  sleepMs(6000);
  std::vector<std::unique_ptr<Client>> Clients;
  for (int Index = 0; Index < ServiceCount; ++Index)
    Clients.push_back(std::make_unique<Client>(
        Fleet, Log, "POST", "/orders" + std::to_string(Index) + "/", 50));

  int Late = 0;
  while (nowMs() < EndMs && Late == 0) {
    std::vector<std::unique_ptr<Instance>> Leaving;
    while (Leaving.size() < LeavingCount)
      Leaving.push_back(startInstance(Number++, Fleet, Log));
    sleepMs(JoinedMs);
    for (auto &Server : Leaving)
      Server->stopHeartbeats();
    if (hasTrouble()) {
      Log.line("all processes of the core are killed");
      for (int Index = 0; Index < ControlCount; ++Index)
        Fleet.control(Index).signal(SIGKILL);
    }
    std::vector<long> AcknowledgedAt(LeavingCount);
    std::vector<std::thread> Departures;
    for (int Index = 0; Index < LeavingCount; ++Index)
      Departures.emplace_back([&, Index] {
        AcknowledgedAt[Index] = Leaving[Index]->leave(nowMs() + 5000);
      });
    if (hasTrouble()) {
      for (int Index = 0; Index < ControlCount; ++Index)
        Fleet.control(Index).wait();
      sleepMs(ReturnMs);
      for (int Index = 0; Index < ControlCount; ++Index)
        Fleet.startControl(Index, false);
    }
    long StableAt = nowMs() + StableWindowMs;
    for (std::thread &Departure : Departures)
      Departure.join();
    sleepMs(QuietMs + 200);
    auto CountArrivals = [&](int Index, long From) {
      std::vector<Arrival> Seen = Leaving[Index]->arrivals();
      return std::count_if(Seen.begin(), Seen.end(), [&](const Arrival &Each) {
        return Each.At_ > From;
      });
    };
    bool IsObserved = false;
    for (int Index = 0; Index < LeavingCount; ++Index)
      IsObserved = IsObserved ||
                   (AcknowledgedAt[Index] >= 0 &&
                    CountArrivals(Index, AcknowledgedAt[Index] + QuietMs) > 0);
    if (!IsObserved)
      continue;
    sleepMs(ServedAfterMs);
    for (int Index = 0; Index < LeavingCount; ++Index) {
      if (AcknowledgedAt[Index] < 0)
        continue;
      long Bound = std::max(AcknowledgedAt[Index] + DrainMs, StableAt);
      for (const Arrival &Seen : Leaving[Index]->arrivals())
        if (Seen.At_ > Bound && ++Late <= 5)
          Log.line("DRAIN broken: " + Seen.Path_ + " reached " +
                   Seen.Instance_ + " " +
                   std::to_string(Seen.At_ - AcknowledgedAt[Index]) +
                   " ms after its departure was acknowledged");
    }
  }
  Clients.clear();
  Log.line(std::to_string(Late) +
           " requests reached instances later than DrainS after the "
           "acknowledgement, from gateways in touch");
  Log.line(Late > 0 ? "result: broken" : "result: held");
  return Late > 0 ? 1 : 0;
}
