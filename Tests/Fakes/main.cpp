#include <Fakes/FakeAnnouncer.h>

#include <LibRuntime/SystemClock.h>

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1:0", "listening address A.B.C.D:PORT");
DEFINE_string(instance, "fake-1", "instance id");
DEFINE_string(service, "service", "service name");
DEFINE_string(failure_domain, "here", "failure domain");
DEFINE_uint32(slots, 4, "number of requests that run at the same time");
DEFINE_uint32(waiting, 4,
              "capacity of the queue for a slot; further requests are shed");
DEFINE_uint32(service_time_us, 5000, "service time of a request");
DEFINE_uint32(probe_time_us, 25000, "service time of a probe");
DEFINE_uint32(cold_start_ms, 0,
              "duration of the cold start, during which requests take longer");
DEFINE_double(cold_factor, 1,
              "multiple of the service time during the cold start");
DEFINE_uint64(seed, 1, "seed of the random faults");
DEFINE_string(faults, "{}", "initial faults, JSON as for POST /_fake/faults");
DEFINE_string(announce, "",
              "announcement listeners of the daemons, A.B.C.D:PORT,...");
DEFINE_string(token_file, "", "file with the announcement token");
DEFINE_uint32(announce_interval_ms, 1000, "time between announcements");
DEFINE_uint32(drain_ms, 2000,
              "time in state draining after the last request has ended");

namespace {

using namespace jaybridge;

int fail(const std::string &Message) {
  std::cerr << "fake-upstream: " << Message << "\n";
  return 2;
}

Result<std::vector<Endpoint>> readTargets() {
  std::vector<Endpoint> Targets;
  std::istringstream List(FLAGS_announce);
  for (std::string Text; std::getline(List, Text, ',');) {
    JAYBRIDGE_TRY(Endpoint Target, Endpoint::create(Text));
    Targets.push_back(std::move(Target));
  }
  return Targets;
}

FakeUpstreamOptions readOptions(Endpoint Address) {
  FakeUpstreamOptions Options;
  Options.Address_ = std::move(Address);
  Options.Instance_ = InstanceId(FLAGS_instance);
  Options.Slots_ = SlotCount(FLAGS_slots);
  Options.QueueCapacity_ = SlotCount(FLAGS_waiting);
  Options.ServiceTime_ = Duration(FLAGS_service_time_us);
  Options.ProbeTime_ = Duration(FLAGS_probe_time_us);
  Options.ColdStart_ = std::chrono::milliseconds(FLAGS_cold_start_ms);
  Options.ColdFactor_ = SlowFactor(FLAGS_cold_factor);
  Options.Seed_ = RandomSeed(FLAGS_seed);
  return Options;
}

/// Announces the upstream's state. On SIGTERM, SIGINT or POST /_fake/drain it
/// drains the upstream, announces that it left, and stops the event loop.
class Lifecycle {
public:
  Lifecycle(asio::io_context &Context, FakeUpstream &Upstream,
            FakeAnnouncer &Announcer)
      : Context_(Context), Upstream_(Upstream), Announcer_(Announcer),
        TickTimer_(Context), Signals_(Context, SIGTERM, SIGINT),
        Version_(
            static_cast<std::uint64_t>(wallNow().time_since_epoch().count())) {}

  void start() {
    Signals_.async_wait([this](asio::error_code Failure, int) {
      if (!Failure)
        drain();
    });
    tick();
  }

private:
  void tick() {
    if (Upstream_.state() == FakeState::Draining && !IsDraining_)
      drain();
    announce(Upstream_.state());
    TickTimer_.expires_after(20ms);
    TickTimer_.async_wait([this](asio::error_code Failure) {
      if (!Failure)
        tick();
    });
  }

  void drain() {
    IsDraining_ = true;
    Upstream_.drain([this] {
      announce(Upstream_.state());
      LingerTimer_.expires_after(std::chrono::milliseconds(FLAGS_drain_ms));
      LingerTimer_.async_wait([this](asio::error_code) {
        TickTimer_.cancel();
        announce(FakeState::Left);
        Context_.stop();
      });
    });
  }

  void announce(FakeState State) {
    if (AnnouncedState_ && *AnnouncedState_ != State)
      Version_ = Version_.next();
    AnnouncedState_ = State;
    Announcer_.update({InstanceId(FLAGS_instance), ServiceName(FLAGS_service),
                       Upstream_.address(), FailureDomain(FLAGS_failure_domain),
                       SlotCount(FLAGS_slots), Upstream_.busy(), State,
                       Version_});
  }

  asio::io_context &Context_;
  FakeUpstream &Upstream_;
  FakeAnnouncer &Announcer_;
  asio::steady_timer TickTimer_;
  asio::steady_timer LingerTimer_{Context_};
  asio::signal_set Signals_;
  Incarnation Version_;
  std::optional<FakeState> AnnouncedState_;
  bool IsDraining_ = false;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("fake instance of an upstream service");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  auto Address = Endpoint::create(FLAGS_address);
  if (!Address)
    return fail(Address.error().Message_);
  auto Targets = readTargets();
  if (!Targets)
    return fail(Targets.error().Message_);
  std::string Token;
  if (!FLAGS_token_file.empty() && !(std::ifstream(FLAGS_token_file) >> Token))
    return fail("cannot read a token from " + FLAGS_token_file);
  auto Faults = FakeFaults::create(FLAGS_faults);
  if (!Faults)
    return fail(Faults.error().Message_);

  asio::io_context Context(1);
  FakeUpstream Upstream(Context, readOptions(Address.takeValue()));
  Upstream.setFaults(Faults.takeValue());
  if (auto Started = Upstream.start(); !Started)
    return fail(Started.error().Message_);
  std::cout << "listening " << Upstream.address().text() << std::endl;
  FakeAnnouncer Announcer(
      Targets.takeValue(), Token,
      std::chrono::milliseconds(FLAGS_announce_interval_ms));
  Lifecycle UpstreamLifecycle(Context, Upstream, Announcer);
  UpstreamLifecycle.start();
  Context.run();
  return 0;
}
