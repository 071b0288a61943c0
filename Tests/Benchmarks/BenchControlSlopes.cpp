#include <LibWire/DirectoryCodec.h>
#include <LibWire/LeaseCodec.h>
#include <LibWire/MembershipCodec.h>
#include <Support/DirectoryFleet.h>
#include <Support/DistributionFleet.h>
#include <Support/LeaseFleet.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

// Measures bytes per second and daemon, CPU time per message, and memory of the
// control roles at growing numbers of members, instances and services.

namespace jaybridge {
namespace {

/// Bytes that the envelope and the TCP/IP headers add to the payload of each
/// message.
constexpr std::size_t MessageOverheadBytes = 64;

std::string encode(const MembershipMessage &Message) {
  return encodeMembershipMessage(Message);
}
std::string encode(const DirectoryMessage &Message) {
  return encodeDirectoryMessage(Message);
}
std::string encode(const DistributionMessage &Message) {
  return encodeDistributionMessage(Message);
}
std::string encode(const LeaseMessage &Message) {
  return encodeLeaseMessage(Message);
}

/// Counts the messages that a fleet sends.
struct Traffic {
  std::size_t Messages_ = 0;
  std::size_t Bytes_ = 0;
  /// Bytes sent to member 0, a voter.
  std::size_t VoterBytes_ = 0;

  template <typename Effect> void count(const Effect &Sent) {
    std::visit(
        [&](const auto &Alternative) {
          if constexpr (requires { Alternative.Message_; }) {
            ++Messages_;
            std::size_t Size =
                encode(Alternative.Message_).size() + MessageOverheadBytes;
            Bytes_ += Size;
            if constexpr (requires { Alternative.To_ == MemberId(); })
              VoterBytes_ += Alternative.To_ == memberIdFor(0) ? Size : 0;
          }
        },
        Sent);
  }
};

std::size_t heapBytesInUse() { return mallinfo2().uordblks; }

template <typename FleetType>
void measure(benchmark::State &State, FleetType &Fleet, Traffic &Measured,
             Duration Span) {
  Measured = {};
  auto Seconds = static_cast<double>(Span / 1s);
  auto Members = static_cast<double>(Fleet.Simulation_.members().size());
  for (auto Ignored : State)
    Fleet.Simulation_.runFor(Span);
  auto Messages = static_cast<double>(Measured.Messages_);
  State.counters["bytes/s/daemon"] =
      static_cast<double>(Measured.Bytes_) / Seconds / Members;
  State.counters["messages/s/daemon"] = Messages / Seconds / Members;
  State.counters["cpu/message"] = benchmark::Counter(
      Messages, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  State.counters["voter-bytes/s"] =
      static_cast<double>(Measured.VoterBytes_) / Seconds;
}

/// A fleet that counts the messages it sends.
template <typename FleetType> struct TrafficCountingFleet : FleetType {
  Traffic Traffic_;
  template <typename... Arguments>
  explicit TrafficCountingFleet(Arguments... FleetArguments)
      : FleetType(FleetArguments...) {
    this->Simulation_.observe(
        [this](const auto &Effect) { Traffic_.count(Effect); });
  }
};

void membership(benchmark::State &State) {
  std::size_t HeapBytesBefore = heapBytesInUse();
  auto Members = static_cast<std::size_t>(State.range(0));
  TrafficCountingFleet<MembershipFleet> Fleet(Members, LinkFaults{},
                                              RandomSeed(1));
  Fleet.Simulation_.runFor(90s);
  State.counters["memory/member"] =
      static_cast<double>(heapBytesInUse() - HeapBytesBefore) /
      static_cast<double>(Members * Members);
  measure(State, Fleet, Fleet.Traffic_, 10s);
}

void directoryOverMembers(benchmark::State &State) {
  TrafficCountingFleet<DirectoryFleet> Fleet(
      static_cast<std::size_t>(State.range(0)), LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(3s);
  measure(State, Fleet, Fleet.Traffic_, 10s);
}

/// Eight daemons; every instance announces itself once per 10 s.
void directoryOverInstances(benchmark::State &State) {
  constexpr std::size_t Members = 8;
  auto Instances = static_cast<std::size_t>(State.range(0));
  TrafficCountingFleet<DirectoryFleet> Fleet(Members, LinkFaults{},
                                             RandomSeed(1));
  Fleet.Simulation_.runFor(3s);
  std::size_t HeapBytesBefore = heapBytesInUse();
  auto AnnounceAll = [&](Duration Span) {
    for (std::size_t Number = 0; Number < Instances; ++Number) {
      Fleet.announce(Number % Members, instanceRecordFor(Number));
      if (Number % 100 == 99)
        Fleet.Simulation_.runFor(Span * 100 / Instances);
    }
  };
  AnnounceAll(10s);
  Fleet.Simulation_.runFor(20s);
  State.counters["memory/instance"] =
      static_cast<double>(heapBytesInUse() - HeapBytesBefore) /
      static_cast<double>(Members * Instances);
  Fleet.Traffic_ = {};
  AnnounceAll(10s);
  State.counters["renewal-bytes/instance"] =
      static_cast<double>(Fleet.Traffic_.Bytes_) /
      static_cast<double>(Instances);
  measure(State, Fleet, Fleet.Traffic_, 5s);
}

void spread(benchmark::State &State) {
  TrafficCountingFleet<DistributionFleet> Fleet(
      static_cast<std::size_t>(State.range(0)), LinkFaults{}, RandomSeed(1));
  Fleet.Simulation_.runFor(5s);
  Fleet.commit(1);
  Fleet.Simulation_.runFor(5s);
  State.counters["behind"] = static_cast<double>(State.range(0)) -
                             static_cast<double>(Fleet.countMembersAt(1));
  measure(State, Fleet, Fleet.Traffic_, 10s);
}

void lease(benchmark::State &State) {
  TrafficCountingFleet<LeaseFleet> Fleet(
      std::size_t(50), static_cast<std::size_t>(State.range(0)), LinkFaults{},
      RandomSeed(1));
  Fleet.Simulation_.runFor(120s);
  measure(State, Fleet, Fleet.Traffic_, 20s);
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
