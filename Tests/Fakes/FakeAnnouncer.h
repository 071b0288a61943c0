#pragma once

#include <Fakes/FakeUpstream.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace jaybridge {

/// An announcement of a fake upstream to the daemons.
struct FakeAnnouncement {
  InstanceId Instance_;
  ServiceName Service_;
  Endpoint Address_;
  FailureDomain Domain_;
  SlotCount Slots_;
  SlotCount Busy_;
  FakeState State_ = FakeState::Serving;
  Incarnation Version_;

  /// The JSON body of POST /announce.
  std::string toJson() const;
};

/// Background thread that posts the latest announcement at every interval, and
/// immediately when its state changes.
class FakeAnnouncer {
public:
  FakeAnnouncer(std::vector<Endpoint> Targets, std::string Token,
                Duration Interval);
  /// Posts the latest announcement once more and joins the thread.
  ~FakeAnnouncer();
  FakeAnnouncer(const FakeAnnouncer &) = delete;
  FakeAnnouncer &operator=(const FakeAnnouncer &) = delete;

  /// Replaces the announcement. Thread-safe.
  void update(FakeAnnouncement Latest);

private:
  void run();
  void post(const std::string &Body);

  std::vector<Endpoint> Targets_;
  std::string Token_;
  Duration Interval_;
  /// Index of the target that gets the next announcement.
  std::size_t NextTarget_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<FakeAnnouncement> Latest_;
  bool IsDue_ = false;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace jaybridge
