// Three of five core machines are replaced as planned, the new ones first;
// later one machine loses its disk.
#include "Fleet.hh"
#include "Record.hh"

using namespace review;

namespace {

constexpr std::size_t CoreMachines = 5;
constexpr std::size_t Replaced = 3;
/// The machine that loses its disk; it is none of the replaced ones.
constexpr std::size_t Lost = 3;
constexpr double CatchUpS = 4;
constexpr double RecoverS = 15;

/// One machine after the other counts as lost: a new one until CatchUpS after
/// its start, an old one not at all, since its successor has had that time.
void replaceMachines(Fleet &System) {
  for (std::size_t Index = 0; Index < Replaced; ++Index) {
    System.startControl(CoreMachines + Index, false);
    sleepFor(CatchUpS + 1);
  }
  for (std::size_t Index = 0; Index < Replaced; ++Index) {
    record("SIGTERM for core-" + std::to_string(Index + 1) +
           ", which is removed for good");
    System.control(Index).terminate(Fleet::GraceS);
    System.removeFromList(Index);
    sleepFor(3);
  }
  System.setSeeds({3, 4, 5});
}

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Fleet System({CoreMachines, 1, 260});
  System.startAll();
  Operator Platform(System);
  const std::string First = configuration(1, {{"a", "safe", 3000, "service"}});
  if (Platform.put(First, 20) != 200)
    return finish(Verdict::NotRun, "the first configuration is not accepted");
  if (!waitUntilReady(System, 1))
    return finish(Verdict::NotRun, "the gateway does not get ready");
  // Traffic starts 8 s after the machines.
  sleepUntil(8);

  if (hasTrouble())
    replaceMachines(System);
  const std::string Second = configuration(
      2, {{"a", "safe", 3000, "service"}, {"b", "safe", 3000, "service"}});
  if (Platform.put(Second, 8) != 200)
    return finish(Verdict::NotRun, "the second configuration is not accepted");
  sleepFor(2);

  if (hasTrouble()) {
    record("core-4 loses its disk and is back 1 s later");
    System.control(Lost).kill();
    System.wipe(Lost);
    sleepFor(1);
    System.startControl(Lost, false);
  }
  sleepFor(CatchUpS + RecoverS);
  std::string Text;
  if (Platform.get(15, Text) != 200)
    return finish(Verdict::Broken,
                  "CONFIG: the acknowledged configuration does not come "
                  "RecoverS after the machine is back, nor 15 s later");
  if (Text != Second)
    return finish(Verdict::Broken, "CONFIG: another configuration is read");
  return finish(Verdict::Held, "the acknowledged configuration is read back");
}
