#pragma once

#include <Fakes/FakeUpstream.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace jaybridge {

struct FakeAnnouncement {
  InstanceId Instance_;
  ServiceName Service_;
  Endpoint Address_;
  FailureDomain Domain_;
  SlotCount Slots_;
  SlotCount Busy_;
  FakeState State_ = FakeState::Serving;
  Incarnation Version_;

  std::string text() const;
};

/// Posts the latest announcement every interval, and at once when its state
/// changes, on a thread of its own.
class FakeAnnouncer {
public:
  FakeAnnouncer(std::vector<Endpoint> Targets, std::string Token,
                Duration Interval);
  /// Posts the last announcement once more, then ends.
  ~FakeAnnouncer();
  FakeAnnouncer(const FakeAnnouncer &) = delete;
  FakeAnnouncer &operator=(const FakeAnnouncer &) = delete;

  void update(FakeAnnouncement Latest);

private:
  void run();
  void post(const std::string &Text);

  std::vector<Endpoint> Targets_;
  std::string Token_;
  Duration Interval_;
  std::size_t Next_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<FakeAnnouncement> Latest_;
  bool IsDue_ = false;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace jaybridge
