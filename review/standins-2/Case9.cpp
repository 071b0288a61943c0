// Entries of another writer that name a service which is not configured, at
// the addresses of sound instances.

#include "Fleet.h"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t InstanceCount = 10;
constexpr std::size_t ForgedCount = 5;
constexpr int Slots = 2;
constexpr Seconds Work{0.5};
constexpr double RequestsPerSecond = 33;
constexpr Seconds Length{22};
/// Twice StableWindowS after the last entry.
constexpr Seconds Settled{6.5};
constexpr Seconds Window{2};
constexpr double FloorShare = 0.7;

struct Sent {
  TimePoint At_;
  bool IsServed_ = false;
};

} // namespace

int main(int Count, char **Arguments) {
  Record Written(Count > 1 ? Arguments[1] : "record.txt");
  Fleet Tested(Written, 3, 2);
  Tested.startAll();
  if (Tested.order("PUT", "/jaybridge/config",
                   configurationText(1, {{"semak", "safe", "status", 2500}}),
                   Seconds(30)) != 200 ||
      !Tested.waitUntilReady(Seconds(20)))
    return 2;
  std::mutex Mutex;
  std::vector<std::pair<TimePoint, std::string>> Arrivals;
  const std::string Port = ":" + std::to_string(Fleet::freePort());
  std::vector<std::unique_ptr<Instance>> Instances;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    Instances.push_back(std::make_unique<Instance>(
        Tested,
        InstanceSettings{"i-" + std::to_string(Index), "status",
                         "127.99.2." + std::to_string(Index + 1) + Port,
                         "shah-alam", Slots, 2},
        [&](const Arrival &Arrived) {
          Written.line(Arrived.Id_ + " runs at " + Arrived.Instance_);
          std::lock_guard Lock(Mutex);
          Arrivals.emplace_back(Arrived.At_, Arrived.Instance_);
          return Reply{200, "done", Work};
        }));
  std::this_thread::sleep_for(Seconds(8));
  const TimePoint Start = now();
  std::size_t Accepted = 0;
  std::vector<std::size_t> BeatsBefore;
  if (hasTrouble())
    for (std::size_t Index = 0; Index < ForgedCount; ++Index) {
      const long long Now =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
      const int Status = Tested.order(
          "PUT", "/jaybridge/instances/other-" + std::to_string(Index),
          R"({"Service":"statuz","Address":")" +
              Instances[Index]->settings().Address_ +
              R"(","Zone":"shah-alam","Version":"v1","Slots":2,)"
              R"("State":"ready","WarmupLeftS":0,"Seq":1,"born":)" +
              std::to_string(Now) + "}",
          Seconds(5));
      Accepted += Status == 200 ? 1 : 0;
    }
  BeatsBefore.reserve(InstanceCount);
  for (const auto &Each : Instances)
    BeatsBefore.push_back(Each->acknowledgedBeats());
  std::vector<std::unique_ptr<Sent>> All;
  std::vector<std::thread> Callers;
  while (now() < Start + Length) {
    All.push_back(std::make_unique<Sent>());
    Sent &Request = *All.back();
    Request.At_ = now();
    const std::size_t Number = All.size();
    Callers.emplace_back([&Request, &Tested, &Written, Number] {
      const std::string Id = "semak-" + std::to_string(Number);
      const auto Answered =
          call(Tested.callerAddress(Number % 2), "GET", "/semak/" + Id,
               requestHeaders(Id, 3000), "", Seconds(3));
      Request.IsServed_ = Answered && Answered->status() == 200;
      Written.line(Id + ": " +
                   (Answered ? std::to_string(Answered->status()) : "nothing"));
    });
    std::this_thread::sleep_until(std::chrono::time_point_cast<Clock::duration>(
        Start + Seconds(double(Number) / RequestsPerSecond)));
  }
  for (std::thread &Each : Callers)
    Each.join();
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    Written.line("i-" + std::to_string(Index) + " was acknowledged " +
                 std::to_string(Instances[Index]->acknowledgedBeats() -
                                BeatsBefore[Index]) +
                 " times after the entries");
  std::size_t Broken = 0;
  double Served = 0;
  for (const auto &Each : All)
    Served += Each->IsServed_ ? 1 : 0;
  for (TimePoint From = Start + Settled; From + Window < Start + Length;
       From += Seconds(0.25)) {
    std::set<std::string> Used;
    for (const auto &[At, Id] : Arrivals)
      if (At >= From && At < From + Window)
        Used.insert(Id);
    double Count = 0;
    double Unserved = 0;
    for (const auto &Each : All)
      if (Each->At_ >= From && Each->At_ < From + Window) {
        ++Count;
        Unserved += Each->IsServed_ ? 0 : 1;
      }
    const double Share = double(Used.size()) / InstanceCount;
    const bool IsBroken = !Used.empty() && Share < FloorShare &&
                          Unserved > Count / 10 && Unserved < Count / 2;
    Broken += IsBroken ? 1 : 0;
    Written.line("two seconds from " + std::to_string((From - Start).count()) +
                 ": " + std::to_string(Used.size()) +
                 " of 10 instances used, " + std::to_string(Unserved) + " of " +
                 std::to_string(Count) + " requests not served");
  }
  Written.line("entries accepted " + std::to_string(Accepted) + ", served " +
               std::to_string(Served / double(All.size())) +
               ", windows that break the rule: " + std::to_string(Broken));
  if (Served == 0)
    return 2;
  return Broken > 0 ? 1 : 0;
}
