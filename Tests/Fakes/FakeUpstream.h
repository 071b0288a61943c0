#pragma once

#include <Fakes/FakeFaults.h>
#include <Fakes/FakeSession.h>

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Time.h>

#include <deque>
#include <map>
#include <optional>

namespace jaybridge {

enum class FakeState { Serving, Draining, Left };

const char *fakeStateName(FakeState State);

struct FakeUpstreamOptions {
  Endpoint Address_;
  InstanceId Instance_{"fake-1"};
  SlotCount Slots_{4};
  /// Requests that wait for a slot; more are shed.
  SlotCount Waiting_{4};
  Duration ServiceTime_ = 5ms;
  Duration ProbeTime_ = 25ms;
  /// Work takes ColdFactor_ times as long until ColdStart_ has passed.
  Duration ColdStart_{};
  SlowFactor ColdFactor_{1};
  RandomSeed Seed_;
};

/// Stand-in for an instance of an upstream service, on one thread's context.
///
/// GET /health, GET /load, POST /_fake/faults (see FakeFaults), POST
/// /_fake/drain, GET /_fake/log, POST /_fake/log/clear; all else is work, which
/// is answered with an echo of the request:
/// "METHOD TARGET\nName: value\n...\n\nBODY".
class FakeUpstream {
public:
  FakeUpstream(asio::io_context &Context, FakeUpstreamOptions Options);
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  /// Binds and listens.
  Status start();
  const Endpoint &address() const { return Address_; }
  FakeState state() const { return State_; }
  SlotCount busy() const;
  void setFaults(FakeFaults Faults) { Faults_ = std::move(Faults); }

  /// Sheds new work; the callback follows when the last request has ended.
  void drain(std::function<void()> Drained);

private:
  struct Work {
    std::shared_ptr<FakeSession> Session_;
    FakeMessage Message_;
    std::optional<std::chrono::steady_clock::time_point> Deadline_;
  };
  struct Execution {
    Work Work_;
    std::unique_ptr<asio::steady_timer> Timer_;
    /// None for probes, and after the log was cleared.
    std::optional<std::size_t> LogEntry_;
  };
  struct LogEntry {
    std::string RequestId_;
    std::string Key_;
    std::string Method_;
    std::string Target_;
    std::string End_;
  };
  enum class Fault { None, Fail, Hang, Cut, Lose };

  void accept();
  void onReceived(std::shared_ptr<FakeSession> Session, FakeMessage Message);
  void onClosed(FakeSession &Session);
  bool answerControl(FakeSession &Session, const FakeMessage &Message);
  void admit(Work Received);
  void execute(Work Admitted);
  void finish(FakeSession *Key, Fault Drawn);
  void startWaiting();
  void shed(FakeSession &Session);
  Fault drawFault();
  Duration serviceTime() const;
  void endExecution(FakeSession *Key, const char *End);
  std::string logText() const;
  std::string loadText() const;
  void checkDrained();

  asio::io_context &Context_;
  FakeUpstreamOptions Options_;
  asio::ip::tcp::acceptor Acceptor_;
  Endpoint Address_;
  std::chrono::steady_clock::time_point StartedAt_;
  Random Random_;
  FakeFaults Faults_;
  FakeState State_ = FakeState::Serving;
  std::function<void()> Drained_;
  std::deque<Work> Waiting_;
  std::map<FakeSession *, Execution> Executing_;
  std::vector<LogEntry> Log_;
  EventCount Shed_;
};

} // namespace jaybridge
