// A request that ends each instance which runs it comes again after all
// processes of the core were killed at the same moment and are back.

#include "Fleet.hh"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t CoreCount = 5;
constexpr std::size_t InstanceCount = 14;
constexpr Seconds BackAfter{2.5};
constexpr Seconds StableWindow{3};
/// The caller repeats at once and often.
constexpr Seconds RepeatInterval{0.25};
constexpr Seconds FirstSeries{4};
constexpr Seconds CoreDown{0.8};
constexpr Seconds Calm{8};
constexpr Seconds SecondSeries{6};
/// The rule allows three.
constexpr std::size_t AllowedRetries = 3;
constexpr std::size_t MinCrashes = 3;

} // namespace

int main(int Count, char **Arguments) {
  Record Written(Count > 1 ? Arguments[1] : "record.txt");
  Fleet Tested(Written, CoreCount, 2);
  Tested.startAll();
  if (Tested.order("PUT", "/jaybridge/config",
                   configurationText(1, {{"tiket", "unsafe", "tiket", 5000}}),
                   Seconds(30)) != 200 ||
      !Tested.waitUntilReady(Seconds(20)))
    return 2;
  std::mutex Mutex;
  std::vector<TimePoint> Crashes;
  std::set<std::string> Ran;
  const auto Respond = [&](const Arrival &Arrived) {
    const bool IsPoison = Arrived.Id_.starts_with("poison");
    Written.line(Arrived.Id_ + (IsPoison ? " ends " : " runs at ") +
                 Arrived.Instance_);
    std::lock_guard Lock(Mutex);
    if (IsPoison)
      Crashes.push_back(Arrived.At_);
    else
      Ran.insert(Arrived.Id_);
    return Reply{200, "done", Seconds(0.6), IsPoison};
  };
  const std::string Port = ":" + std::to_string(Fleet::freePort());
  auto Start = [&](std::size_t Index) {
    return std::make_unique<Instance>(
        Tested,
        InstanceSettings{"i-" + std::to_string(Index), "tiket",
                         "127.99.4." + std::to_string(Index + 1) + Port},
        Respond);
  };
  std::vector<std::unique_ptr<Instance>> Instances;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    Instances.push_back(Start(Index));
  std::atomic<bool> IsOver = false;
  std::thread Supervisor([&] {
    std::vector<TimePoint> BackAt(InstanceCount);
    while (!IsOver) {
      for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
        std::unique_ptr<Instance> &Each = Instances[Index];
        if (Each && Each->hasCrashed()) {
          Each.reset();
          BackAt[Index] = now() + BackAfter;
        } else if (!Each && now() >= BackAt[Index]) {
          Each = Start(Index);
        }
      }
      std::this_thread::sleep_for(Seconds(0.01));
    }
  });
  std::this_thread::sleep_for(Seconds(6));
  // Proper requests go on all the time.
  std::size_t Lost = 0;
  std::size_t Served = 0;
  std::vector<std::thread> Callers;
  for (std::size_t Caller = 0; Caller < 8; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (std::size_t Number = 0; !IsOver; ++Number) {
        const std::string Id =
            "tiket-" + std::to_string(Caller) + "-" + std::to_string(Number);
        const auto Answered =
            call(Tested.callerAddress(Caller % 2), "POST", "/tiket/" + Id,
                 requestHeaders(Id, 6000), "one ticket", Seconds(6));
        const int Status = Answered ? Answered->status() : 0;
        Written.line(Id + ": " + std::to_string(Status));
        std::lock_guard Lock(Mutex);
        Served += Status == 200 ? 1 : 0;
        Lost += Status != 200 && Ran.contains(Id) ? 1 : 0;
      }
    });
  std::size_t Sent = 0;
  auto Repeat = [&](Seconds Length) {
    const TimePoint End = now() + Length;
    while (now() < End) {
      const TimePoint Due = now() + RepeatInterval;
      const std::string Id = "poison-" + std::to_string(++Sent);
      const auto Answered =
          call(Tested.callerAddress(Sent % 2), "POST", "/tiket/always-the-same",
               requestHeaders(Id, 5000), "the same body", Seconds(5));
      Written.line(Id + ": " +
                   (Answered ? std::to_string(Answered->status()) : "nothing"));
      std::this_thread::sleep_until(
          std::chrono::time_point_cast<Clock::duration>(Due));
    }
  };
  Repeat(FirstSeries);
  std::this_thread::sleep_for(StableWindow);
  TimePoint InTouchFrom = now();
  if (hasTrouble()) {
    for (std::size_t Index = 0; Index < CoreCount; ++Index)
      Tested.core(Index).kill();
    Written.line("all processes of the core are killed");
    std::this_thread::sleep_for(CoreDown);
    for (std::size_t Index = 0; Index < CoreCount; ++Index) {
      Tested.core(Index).settings()["Bootstrap"] = "false";
      Tested.core(Index).start();
    }
    Written.line("all processes of the core are back");
    InTouchFrom = now() + StableWindow;
  }
  std::this_thread::sleep_for(Calm);
  Repeat(SecondSeries);
  std::this_thread::sleep_for(Seconds(1));
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  Supervisor.join();
  std::lock_guard Lock(Mutex);
  if (Crashes.size() < MinCrashes || Served == 0)
    return 2;
  const TimePoint CountedFrom =
      std::max(Crashes[MinCrashes - 1] + StableWindow, InTouchFrom);
  const auto Late =
      std::count_if(Crashes.begin(), Crashes.end(),
                    [&](TimePoint At) { return At > CountedFrom; });
  Written.line(
      "sent " + std::to_string(Sent) + " times, ended " +
      std::to_string(Crashes.size()) + " instances, " + std::to_string(Late) +
      " of them later than StableWindowS after the third by machines "
      "in touch; proper requests served " +
      std::to_string(Served) + ", lost while they ran " + std::to_string(Lost));
  return static_cast<std::size_t>(Late) > AllowedRetries ? 1 : 0;
}
