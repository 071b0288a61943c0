// Callers that read large answers slowly, and a platform that ends a process
// which uses more memory than its machine has.

#include "Fleet.hh"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t Mebibyte = 1024UL * 1024;
constexpr std::size_t MemoryMb = 260;
constexpr std::size_t AnswerSize = 15 * Mebibyte;
constexpr std::size_t Downloads = 64;
constexpr std::size_t Actors = 12;
constexpr Seconds DownloadInterval{0.1};
constexpr Seconds DownloadDeadline{15};
/// A slow caller has its answer in this time.
constexpr Seconds SlowRead{14};
constexpr Seconds Length{14};
/// The rule allows three.
constexpr std::size_t AllowedLosses = 3;

/// What callers and instances saw of the requests, by their ids.
struct Seen {
  std::mutex Mutex_;
  std::set<std::string> Ran_;
  std::set<std::string> Answered_;
  std::set<std::string> ClosedWithoutAnswer_;
};

/// Sends actions one after the other on a kept connection.
void act(Fleet &Tested, Seen &Observed, std::size_t Actor, TimePoint End) {
  std::optional<Connection> Kept;
  for (std::size_t Count = 0; now() < End; ++Count) {
    if (!Kept)
      Kept = Connection::open(Tested.callerAddress(0), Seconds(1));
    if (!Kept) {
      std::this_thread::sleep_for(Seconds(0.2));
      continue;
    }
    const std::string Id =
        "act-" + std::to_string(Actor) + "-" + std::to_string(Count);
    const TimePoint Deadline = now() + Seconds(6);
    Kept->send(
        requestText("POST", "/act/" + Id, requestHeaders(Id, 6000), "one seat"),
        Deadline);
    const auto Answered = Kept->read(Deadline);
    const bool IsClosed = !Answered && now() < Deadline;
    {
      std::lock_guard Lock(Observed.Mutex_);
      if (Answered)
        Observed.Answered_.insert(Id);
      else if (IsClosed)
        Observed.ClosedWithoutAnswer_.insert(Id);
    }
    Tested.record().line(Id + (Answered
                                   ? ": " + std::to_string(Answered->status())
                               : IsClosed ? ": closed without an answer"
                                          : ": no answer by its deadline"));
    if (!Answered || Answered->valueOf("Connection") == "close")
      Kept.reset();
  }
}

void download(Fleet &Tested, std::size_t Index, bool IsSlow) {
  constexpr int Window = 32 * 1024;
  const std::string Id = "download-" + std::to_string(Index);
  const TimePoint End = now() + DownloadDeadline;
  auto Opened = Connection::open(Tested.callerAddress(0), Seconds(1),
                                 IsSlow ? Window : 0);
  if (!Opened)
    return Tested.record().line(Id + ": no connection");
  Opened->send(
      requestText("GET", "/audio/" + Id, requestHeaders(Id, 15000), ""), End);
  std::size_t Read = 0;
  constexpr std::size_t Piece = 64UL * 1024;
  const Seconds Pause =
      IsSlow ? SlowRead * (double(Piece) / double(AnswerSize)) : Seconds(0);
  while (Read < AnswerSize && now() < End) {
    const std::string Bytes = Opened->readSome(Piece, End);
    if (Bytes.empty())
      break;
    Read += Bytes.size();
    if (IsSlow)
      std::this_thread::sleep_for(Pause *
                                  (double(Bytes.size()) / double(Piece)));
  }
  Tested.record().line(Id + ": read " + std::to_string(Read) + " bytes");
}

} // namespace

int main(int Count, char **Arguments) {
  Record Written(Count > 1 ? Arguments[1] : "record.txt");
  const bool IsSlow = hasTrouble();
  Written.line(IsSlow ? "callers read slowly" : "callers read at once");
  Fleet Tested(Written, 3, 1);
  Tested.setOnEdges("Limits.MemoryMb", std::to_string(MemoryMb));
  Tested.startAll();
  if (Tested.order(
          "PUT", "/jaybridge/config",
          configurationText(1, {{"audio", "download", "fonoteca", 15000},
                                {"act", "unsafe", "catalogo", 6000}}),
          Seconds(30)) != 200 ||
      !Tested.waitUntilReady(Seconds(20)))
    return 2;
  Seen Observed;
  const std::string Audio(AnswerSize, 'a');
  const std::string Port = ":" + std::to_string(Fleet::freePort());
  std::vector<std::unique_ptr<Instance>> Instances;
  for (int Index = 0; Index < 12; ++Index) {
    const bool IsAudio = Index < 6;
    Instances.push_back(std::make_unique<Instance>(
        Tested,
        InstanceSettings{"i-" + std::to_string(Index),
                         IsAudio ? "fonoteca" : "catalogo",
                         "127.99.1." + std::to_string(Index + 1) + Port},
        [&, IsAudio](const Arrival &Arrived) {
          Written.line(Arrived.Id_ + " runs at " + Arrived.Instance_);
          std::lock_guard Lock(Observed.Mutex_);
          Observed.Ran_.insert(Arrived.Id_);
          return IsAudio ? Reply{200, Audio, Seconds(0.1)}
                         : Reply{200, "done", Seconds(0.8)};
        }));
  }
  std::this_thread::sleep_for(Seconds(5));
  const TimePoint End = now() + Length;
  std::atomic<bool> IsOver = false;
  std::size_t Peak = 0;
  std::size_t Ended = 0;
  std::thread Platform([&] {
    Process &Edge = Tested.edge(0);
    while (!IsOver) {
      const std::size_t Used = Edge.memory();
      Peak = std::max(Peak, Used);
      if (Used > MemoryMb * Mebibyte) {
        Written.line("the platform ends edge-1, which uses " +
                     std::to_string(Used / Mebibyte) + " of " +
                     std::to_string(MemoryMb) + " MB");
        Edge.kill();
        ++Ended;
      } else if (Edge.hasEnded()) {
        Written.line("edge-1 ended by itself: " + Edge.end());
        ++Ended;
      }
      if (Edge.hasEnded()) {
        std::this_thread::sleep_for(Seconds(0.5));
        Edge.start();
      }
      std::this_thread::sleep_for(Seconds(0.02));
    }
  });
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < Actors; ++Index)
    Callers.emplace_back([&, Index] { act(Tested, Observed, Index, End); });
  for (std::size_t Index = 0; Index < Downloads; ++Index) {
    Callers.emplace_back([&, Index] { download(Tested, Index, IsSlow); });
    std::this_thread::sleep_for(DownloadInterval);
  }
  for (std::thread &Each : Callers)
    Each.join();
  IsOver = true;
  Platform.join();
  std::size_t Lost = 0;
  std::size_t Answered = 0;
  {
    std::lock_guard Lock(Observed.Mutex_);
    for (const std::string &Id : Observed.ClosedWithoutAnswer_)
      Lost += Observed.Ran_.contains(Id) ? 1 : 0;
    Answered = Observed.Answered_.size();
  }
  Written.line("peak memory " + std::to_string(Peak / Mebibyte) +
               " MB, ended " + std::to_string(Ended) +
               " times, actions answered " + std::to_string(Answered) +
               ", actions that ran and whose kept "
               "connection was closed without an answer: " +
               std::to_string(Lost));
  if (Answered == 0)
    return 2;
  return Lost > AllowedLosses ? 1 : 0;
}
