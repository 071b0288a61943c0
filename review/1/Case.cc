// Two operators send changes of equal number around a restart of the core;
// then the next change is read back.
#include "Harness.hh"

#include <csignal>

#include <sys/wait.h>

using namespace review;

namespace {

constexpr int ControlCount = 5;
constexpr int GatewayCount = 3;
constexpr int RouteCount = 8;
/// All processes of the core are back within a second.
constexpr long ReturnMs = 300;
constexpr long PauseMs = 400;
/// Changes with other content that are in progress at once, beside the one of
/// the first operator.
constexpr int OrderCount = 3;
constexpr long ConfigApplyMs = 2000;
constexpr long EndMs = 108000;

/// A configuration with the timeout of each route.
std::string document(int Version, const int (&Timeouts)[RouteCount]) {
  std::string Routes;
  for (int Index = 0; Index < RouteCount; ++Index) {
    std::string Number = std::to_string(Index);
    Routes += (Index == 0 ? "" : ",") + std::string("\"r-") + Number +
              R"(":{"Host":"shop.example","PathPrefix":"/r)" + Number +
              R"(/","Kind":")" + (Index % 2 == 0 ? "safe" : "unsafe") +
              R"(","TimeoutS":)" + std::to_string(Timeouts[Index]) +
              R"(,"TargetLatencyS":1000,"Priority":1,"Service":"stock",)"
              R"("MaxAttempts":2})";
  }
  return "{\"Version\":" + std::to_string(Version) + ",\"Routes\":{" + Routes +
         R"(},"Services":{"stock":{"HealthPath":"/health","MaxConns":390,)"
         R"("Protocol":"h1","Tls":false}},"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":67108864,"HeaderTimeoutS":3000,)"
         R"("IdleTimeoutS":15000}})";
}

Call putOf(const std::string &Document) {
  Call Put;
  Put.Method_ = "PUT";
  Put.Path_ = "/jaybridge/config";
  Put.Headers_ = {"Content-Type: application/json"};
  Put.Body_ = Document;
  return Put;
}

/// Records the gateways that have ended by themselves.
void recordEndedGateways(Deployment &Fleet, Record &Log) {
  for (int Index = 0; Index < GatewayCount; ++Index) {
    Process &Gateway = Fleet.gateway(Index);
    if (!Gateway.hasEnded())
      continue;
    std::string Lines = Fleet.gatewayLog(Index);
    std::size_t Last = Lines.find_last_of('\n', Lines.size() - 2);
    Lines = Lines.substr(0, Lines.rfind(" at /"));
    Log.line("gateway " + std::to_string(Index) +
             " has ended by itself with signal " +
             std::to_string(WTERMSIG(Gateway.waitStatus())) + ": " +
             Lines.substr(Last == std::string::npos ? 0 : Last + 1));
  }
}

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Deployment Fleet(ControlCount, GatewayCount);
  Fleet.start();
  int Timeouts[RouteCount];
  for (int &Timeout : Timeouts)
    Timeout = 3000;
  int Version = 1;
  ControlCaller First(Fleet, 1);
  if (First.call(putOf(document(Version, Timeouts)), nowMs() + 20000).Status_ !=
      200)
    cannotRun("the first configuration is not accepted");
  Instance Stock({"i-stock-1", "stock", "127.32.1.1"}, Fleet, Log);
  Stock.startHeartbeats();
  sleepMs(7000); // The other two members join.
  Client Lookups(Fleet, Log, "GET", "/r0/", 200);

  bool IsBroken = false;
  for (int Round = 1; nowMs() < EndMs && !IsBroken; ++Round) {
    int Leader = Fleet.findLeader();
    if (Leader < 0)
      cannotRun("there is no leader");
    // Both operators change the timeout of a route under the same number.
    ++Version;
    int Route = Round % RouteCount;
    Timeouts[Route] = 12000 + Round;
    std::string Earlier = document(Version, Timeouts);
    Reply Stored = First.call(putOf(Earlier), nowMs() + 4000, Leader);
    long KilledAt = nowMs();
    if (hasTrouble())
      for (int Index = 0; Index < ControlCount; ++Index)
        Fleet.control(Index).signal(SIGKILL);
    Log.line("round " + std::to_string(Round) + ": operator 1 sent version " +
             std::to_string(Version) + ", answer " +
             std::to_string(Stored.Status_) +
             (hasTrouble() ? "; all processes of the core are killed" : ""));
    std::vector<std::thread> Orders;
    for (int Order = 0; Order < OrderCount; ++Order)
      Orders.emplace_back([&, Order] {
        int Others[RouteCount];
        std::copy(std::begin(Timeouts), std::end(Timeouts), Others);
        Others[Route] = 2000 + 100 * Order + Round;
        ControlCaller Second(Fleet, static_cast<unsigned>(100 * Round + Order));
        Reply Raced =
            Second.call(putOf(document(Version, Others)), nowMs() + 4000);
        Log.line("operator 2 sent other content under version " +
                 std::to_string(Version) + ", answer " +
                 std::to_string(Raced.Status_) + " after " +
                 std::to_string(nowMs() - KilledAt) + " ms");
      });
    if (hasTrouble()) {
      sleepUntilMs(KilledAt + ReturnMs);
      for (int Index = 0; Index < ControlCount; ++Index) {
        Fleet.control(Index).wait();
        Fleet.startControl(Index, false);
      }
    }
    for (std::thread &Order : Orders)
      Order.join();
    // The next change, which only one operator sends.
    ++Version;
    Timeouts[(Route + 1) % RouteCount] = 2500 + Round;
    std::string Next = document(Version, Timeouts);
    Reply Acknowledged = First.call(putOf(Next), nowMs() + 4000);
    Log.line("operator 1 sent version " + std::to_string(Version) +
             ", answer " + std::to_string(Acknowledged.Status_));
    if (Acknowledged.Status_ != 200)
      continue;
    Call Read;
    Read.Path_ = "/jaybridge/config";
    Reply Content = First.call(Read, nowMs() + 4000);
    if (Content.Status_ == 200 && Content.Body_ != Next) {
      // Only a read after ConfigApplyS counts.
      sleepMs(ConfigApplyMs);
      Content = First.call(Read, nowMs() + 4000);
    }
    if (Content.Status_ == 200 && Content.Body_ != Next) {
      IsBroken = true;
      Log.line("CONFIG broken: version " + std::to_string(Version) +
               " was acknowledged, and another content is read back");
      Log.line("sent: " + Next);
      Log.line("read: " + Content.Body_);
      recordEndedGateways(Fleet, Log);
    }
    sleepMs(PauseMs);
  }
  if (IsBroken)
    sleepMs(3000);
  Lookups.stop();
  int Unanswered = 0;
  for (const Client::Sent &Sent : Lookups.requests())
    if (Sent.Status_ == 0)
      ++Unanswered;
  Log.line(std::to_string(Unanswered) + " of " +
           std::to_string(Lookups.requests().size()) +
           " requests of clients had no answer");
  Log.line(IsBroken ? "result: broken" : "result: held");
  return IsBroken ? 1 : 0;
}
