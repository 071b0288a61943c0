// One machine of the core is lost at the first start, before the core has
// formed; another comes in its place.

#include "Fleet.hh"

using namespace review;

namespace {

constexpr std::size_t CoreCount = 5;
/// All machines start within 0.3 s of each other.
constexpr Seconds StartSpread{0.25};
/// The machine is lost this long after its start.
constexpr Seconds LostAfter{0.2};
constexpr Seconds ReplacedAfter{2};
constexpr Seconds StableWindow{3};
constexpr Seconds AckBound{4};
constexpr Seconds Length{60};

} // namespace

int main(int Count, char **Arguments) {
  Record Written(Count > 1 ? Arguments[1] : "record.txt");
  Fleet Tested(Written, CoreCount, 2);
  const bool IsLost = hasTrouble();
  const TimePoint Start = now();
  Tested.core(0).start();
  std::this_thread::sleep_for(LostAfter);
  if (IsLost) {
    Tested.core(0).kill();
    Written.line("core-1 is lost for good: " + Tested.core(0).end());
  }
  std::this_thread::sleep_for(StartSpread - LostAfter);
  for (std::size_t Index = 1; Index < CoreCount; ++Index)
    Tested.core(Index).start();
  for (std::size_t Index = 0; Index < Tested.edgeCount(); ++Index)
    Tested.edge(Index).start();
  Written.line("the others are started");
  if (IsLost) {
    std::this_thread::sleep_for(ReplacedAfter);
    Tested.addCore(false).start();
    Written.line("core-6 is started in its place, with an empty disk");
  }
  const TimePoint StableFrom = now() + StableWindow;
  const int Status = Tested.order(
      "PUT", "/jaybridge/config",
      configurationText(1, {{"semak", "safe", "status", 2500}}), Length);
  const TimePoint Answered = now();
  std::size_t Running = 0;
  for (std::size_t Index = 0; Index < Tested.coreCount(); ++Index)
    Running += Tested.core(Index).isRunning() ? 1 : 0;
  Written.line(
      "the order " +
      std::string(Status == 200 ? "was acknowledged"
                                : "was never acknowledged") +
      " by " + std::to_string((Answered - Start).count()) + " s, status " +
      std::to_string(Status) + "; running " + std::to_string(Running) + " of " +
      std::to_string(Tested.coreCount()) + " core machines, ready " +
      std::to_string(Tested.isReady(0)) + std::to_string(Tested.isReady(1)));
  if (Running < CoreCount - 1)
    return 2;
  const bool IsInTime = Status == 200 && Answered < StableFrom + AckBound;
  return IsInTime ? 0 : 1;
}
