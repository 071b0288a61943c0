#include <LibWire/DirectoryCodec.h>
#include <LibWire/LeaseCodec.h>
#include <LibWire/MembershipCodec.h>
#include <Support/DirectoryFleet.h>
#include <Support/LeaseFleet.h>
#include <Support/SpreadFleet.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

// Bytes per second and daemon, CPU per message and memory of the control
// roles, as slopes over members, instances and services.

namespace jaybridge {
namespace {

/// Envelope and TCP/IP headers that each message adds to its payload.
constexpr std::size_t Overhead = 64;

std::string encode(const MembershipMessage &Each) {
  return encodeMembershipMessage(Each);
}
std::string encode(const DirectoryMessage &Each) {
  return encodeDirectoryMessage(Each);
}
std::string encode(const DistributionMessage &Each) {
  return encodeSpreadMessage(Each);
}
std::string encode(const LeaseMessage &Each) {
  return encodeLeaseMessage(Each);
}

struct Traffic {
  std::size_t Messages_ = 0;
  std::size_t Bytes_ = 0;
  std::size_t ToVoter_ = 0;

  template <typename Effect> void count(const Effect &Given) {
    std::visit(
        [&](const auto &Each) {
          if constexpr (requires { Each.Message_; }) {
            ++Messages_;
            std::size_t Size = encode(Each.Message_).size() + Overhead;
            Bytes_ += Size;
            if constexpr (requires { Each.To_ == MemberId(); })
              ToVoter_ += Each.To_ == memberIdFor(0) ? Size : 0;
          }
        },
        Given);
  }
};

std::size_t heapInUse() { return mallinfo2().uordblks; }

template <typename FleetType>
void measure(benchmark::State &State, FleetType &Fleet, Traffic &Seen,
             Duration Span) {
  Seen = {};
  auto Seconds = static_cast<double>(Span / 1s);
  auto Members = static_cast<double>(Fleet.Simulation_.members().size());
  for (auto Ignored : State)
    Fleet.Simulation_.runFor(Span);
  auto Messages = static_cast<double>(Seen.Messages_);
  State.counters["bytes/s/daemon"] =
      static_cast<double>(Seen.Bytes_) / Seconds / Members;
  State.counters["messages/s/daemon"] = Messages / Seconds / Members;
  State.counters["cpu/message"] = benchmark::Counter(
      Messages, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  State.counters["voter-bytes/s"] =
      static_cast<double>(Seen.ToVoter_) / Seconds;
}

/// Replaces the route of a fleet by one that also counts traffic.
template <typename FleetType> struct Counted : FleetType {
  Traffic Seen_;
  template <typename... Arguments>
  explicit Counted(Arguments... Given) : FleetType(Given...) {
    this->Simulation_.observe(
        [this](const auto &Effect) { Seen_.count(Effect); });
  }
};

void membership(benchmark::State &State) {
  std::size_t Before = heapInUse();
  auto Members = static_cast<std::size_t>(State.range(0));
  Counted<MembershipFleet> Fleet(Members, LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(90s);
  State.counters["memory/member"] = static_cast<double>(heapInUse() - Before) /
                                    static_cast<double>(Members * Members);
  measure(State, Fleet, Fleet.Seen_, 10s);
}

void directoryOverMembers(benchmark::State &State) {
  Counted<DirectoryFleet> Fleet(static_cast<std::size_t>(State.range(0)),
                                LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(3s);
  measure(State, Fleet, Fleet.Seen_, 10s);
}

/// Eight daemons; every instance announces itself once in the measured 10 s.
void directoryOverInstances(benchmark::State &State) {
  constexpr std::size_t Members = 8;
  auto Instances = static_cast<std::size_t>(State.range(0));
  Counted<DirectoryFleet> Fleet(Members, LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(3s);
  std::size_t Before = heapInUse();
  auto AnnounceAll = [&](Duration Span) {
    for (std::size_t I = 0; I < Instances; ++I) {
      Fleet.announce(I % Members, instanceRecordFor(I));
      if (I % 100 == 99)
        Fleet.Simulation_.runFor(Span * 100 / Instances);
    }
  };
  AnnounceAll(10s);
  Fleet.Simulation_.runFor(20s);
  State.counters["memory/instance"] =
      static_cast<double>(heapInUse() - Before) /
      static_cast<double>(Members * Instances);
  Fleet.Seen_ = {};
  AnnounceAll(10s);
  State.counters["renewal-bytes/instance"] =
      static_cast<double>(Fleet.Seen_.Bytes_) / static_cast<double>(Instances);
  measure(State, Fleet, Fleet.Seen_, 5s);
}

void spread(benchmark::State &State) {
  Counted<SpreadFleet> Fleet(static_cast<std::size_t>(State.range(0)),
                             LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(5s);
  Fleet.commit(1);
  Fleet.Simulation_.runFor(5s);
  State.counters["behind"] = static_cast<double>(State.range(0)) -
                             static_cast<double>(Fleet.countMembersAt(1));
  measure(State, Fleet, Fleet.Seen_, 10s);
}

void lease(benchmark::State &State) {
  Counted<LeaseFleet> Fleet(std::size_t(50),
                            static_cast<std::size_t>(State.range(0)),
                            LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(120s);
  measure(State, Fleet, Fleet.Seen_, 20s);
}

BENCHMARK(membership)->Arg(50)->Arg(200)->Arg(800)->Iterations(1);
BENCHMARK(directoryOverMembers)->Arg(50)->Arg(200)->Arg(800)->Iterations(1);
BENCHMARK(directoryOverInstances)
    ->Arg(1000)
    ->Arg(5000)
    ->Arg(20000)
    ->Iterations(1);
BENCHMARK(spread)->Arg(50)->Arg(200)->Arg(800)->Iterations(1);
BENCHMARK(lease)->Arg(50)->Arg(200)->Arg(800)->Iterations(1);

} // namespace
} // namespace jaybridge

BENCHMARK_MAIN();
