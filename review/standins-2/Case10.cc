// A deployment whose bound of the grace time has a fraction.

#include "Fleet.hh"

using namespace review;

int main(int Count, char **Arguments) {
  Record Written(Count > 1 ? Arguments[1] : "record.txt");
  Fleet Tested(Written, 3, 2);
  const std::string Grace = hasTrouble() ? "6.5" : "6";
  Tested.setOnAll("Bounds.GraceS", Grace);
  Written.line("GraceS is " + Grace);
  Tested.startAll();
  const int Status = Tested.order(
      "PUT", "/jaybridge/config",
      configurationText(1, {{"semak", "safe", "status", 2500}}), Seconds(15));
  const bool IsReady = Tested.waitUntilReady(Seconds(5));
  std::size_t Ended = 0;
  for (std::size_t Index = 0; Index < Tested.coreCount(); ++Index) {
    Ended += Tested.core(Index).hasEnded() ? 1 : 0;
    Written.line(Tested.core(Index).name() + ": " + Tested.core(Index).end());
  }
  for (std::size_t Index = 0; Index < Tested.edgeCount(); ++Index) {
    Ended += Tested.edge(Index).hasEnded() ? 1 : 0;
    Written.line(Tested.edge(Index).name() + ": " + Tested.edge(Index).end());
  }
  Written.line("order " + std::to_string(Status) + ", ready " +
               std::to_string(IsReady) + ", ended by themselves " +
               std::to_string(Ended));
  return Ended > 0 ? 1 : Status == 200 && IsReady ? 0 : 2;
}
