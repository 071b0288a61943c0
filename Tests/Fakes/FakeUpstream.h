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

/// State that a fake upstream announces.
enum class FakeState { Serving, Draining, Left };

/// Name of the state in announcements and in GET /load.
const char *fakeStateName(FakeState State);

struct FakeUpstreamOptions {
  Endpoint Address_;
  InstanceId Instance_{"fake-1"};
  SlotCount Slots_{4};
  /// Capacity of the queue for a slot; further requests are shed.
  SlotCount QueueCapacity_{4};
  Duration ServiceTime_ = 5ms;
  Duration ProbeTime_ = 25ms;
  /// Until ColdStart_ has passed since the start, the service time is
  /// multiplied by ColdFactor_.
  Duration ColdStart_{};
  SlowFactor ColdFactor_{1};
  RandomSeed Seed_;
};

/// Fake instance of an upstream service. It runs on the single thread of its
/// context and is not thread-safe.
///
/// Control requests are GET /load, POST /_fake/faults (see FakeFaults), POST
/// /_fake/drain, GET /_fake/log and POST /_fake/log/clear; GET /health is the
/// probe. Any other request takes a slot for the service time, and the response
/// echoes it: "METHOD TARGET\nName: value\n...\n\nBODY".
class FakeUpstream {
public:
  FakeUpstream(asio::io_context &Context, FakeUpstreamOptions Options);
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  /// Binds the address and starts to accept connections. Fails with
  /// ErrorCode::Unavailable when the address can't be bound.
  Status start();
  const Endpoint &address() const { return Address_; }
  FakeState state() const { return State_; }
  SlotCount busy() const;
  void setFaults(FakeFaults Faults) { Faults_ = std::move(Faults); }

  /// Sheds new requests from now on. The callback is called once when no
  /// request is executing or queued any more.
  void drain(std::function<void()> OnDrained);

private:
  /// A request with the connection that awaits its response.
  struct Task {
    std::shared_ptr<FakeSession> Session_;
    FakeRequest Request_;
    std::optional<std::chrono::steady_clock::time_point> Deadline_;
  };
  struct Execution {
    Task Task_;
    std::unique_ptr<asio::steady_timer> Timer_;
    /// Index in the log; none for probes and after the log was cleared.
    std::optional<std::size_t> LogEntry_;
  };
  struct LogEntry {
    std::string RequestId_;
    std::string Key_;
    std::string Method_;
    std::string Target_;
    std::string Outcome_;
  };
  /// The fault drawn for a request.
  enum class Fault { None, Fail, Hang, Truncate, Drop };

  void accept();
  void onReceived(std::shared_ptr<FakeSession> Session, FakeRequest Request);
  void onClosed(FakeSession &Session);
  bool handleControlRequest(FakeSession &Session, const FakeRequest &Request);
  void admit(Task Received);
  void execute(Task Admitted);
  void finish(FakeSession *Key, Fault Drawn);
  void startQueued();
  void shed(const Task &Refused);
  Fault drawFault();
  Duration serviceTime() const;
  void endExecution(FakeSession *Key, const char *Outcome);
  std::string logText() const;
  std::string loadText() const;
  void notifyIfDrained();

  asio::io_context &Context_;
  FakeUpstreamOptions Options_;
  asio::ip::tcp::acceptor Acceptor_;
  Endpoint Address_;
  std::chrono::steady_clock::time_point StartedAt_;
  Random Random_;
  FakeFaults Faults_;
  FakeState State_ = FakeState::Serving;
  std::function<void()> OnDrained_;
  std::deque<Task> Queue_;
  std::map<FakeSession *, Execution> Executing_;
  std::vector<LogEntry> Log_;
  EventCount Shed_;
};

} // namespace jaybridge
