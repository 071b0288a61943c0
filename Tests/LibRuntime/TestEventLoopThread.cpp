#include <LibRuntime/EventLoopThread.h>

#include <gtest/gtest.h>

#include <future>

namespace jaybridge {
namespace {

struct Countdown {
  int Left_;
};
struct Finished {};

/// Emits its input less one until nothing is left.
class CountdownRole {
public:
  using Event = Countdown;
  using Effect = std::variant<Countdown, Finished>;

  void handle(const Event &Incoming, TimePoint /*Now*/,
              std::vector<Effect> &Effects) {
    if (Incoming.Left_ == 0)
      Effects.emplace_back(Finished{});
    else
      Effects.emplace_back(Countdown{Incoming.Left_ - 1});
  }
  void advance(TimePoint /*Now*/, std::vector<Effect> & /*Effects*/) {}
  std::optional<TimePoint> nextDeadline() const { return std::nullopt; }
};

class AlarmRole {
public:
  using Event = Countdown;
  using Effect = Finished;

  explicit AlarmRole(TimePoint DueAt) : DueAt_(DueAt) {}

  void handle(const Event & /*Incoming*/, TimePoint /*Now*/,
              std::vector<Effect> & /*Effects*/) {}
  void advance(TimePoint Now, std::vector<Effect> &Effects) {
    if (!DueAt_ || Now < *DueAt_)
      return;
    DueAt_.reset();
    Effects.emplace_back();
  }
  std::optional<TimePoint> nextDeadline() const { return DueAt_; }

private:
  std::optional<TimePoint> DueAt_;
};

// Guards against an undeliverable effect whose event is lost.
TEST(EventLoopThread, HandlesEventsThatTheSinkReturns) {
  EventLoopThread<CountdownRole> Duty(CountdownRole{}, RingCapacity(1));
  std::promise<void> Done;
  Duty.start([&](CountdownRole::Effect Each) -> std::optional<Countdown> {
    if (auto *Again = std::get_if<Countdown>(&Each))
      return *Again;
    Done.set_value();
    return std::nullopt;
  });
  ASSERT_TRUE(Duty.ring().tryPush(Countdown{100}));
  Done.get_future().wait();
}

// Guards against a thread that sleeps past the deadline of its role.
TEST(EventLoopThread, AdvancesAtTheDeadlineWithoutEvents) {
  EventLoopThread<AlarmRole> Duty(AlarmRole(monotonicNow()), RingCapacity(1));
  std::promise<void> Done;
  Duty.start([&](Finished) -> std::optional<Countdown> {
    Done.set_value();
    return std::nullopt;
  });
  Done.get_future().wait();
}

} // namespace
} // namespace jaybridge
