#include <LibRuntime/EventLoopThread.h>

#include <gtest/gtest.h>

#include <future>

namespace jaybridge {
namespace {

struct Countdown {
  int Remaining_;
};
struct Finished {};

/// Answers each countdown with one that is smaller by one, and 0 with Finished.
class CountdownRole {
public:
  using Event = Countdown;
  using Effect = std::variant<Countdown, Finished>;

  void handle(const Event &IncomingEvent, TimePoint /*Now*/,
              std::vector<Effect> &Effects) {
    if (IncomingEvent.Remaining_ == 0)
      Effects.emplace_back(Finished{});
    else
      Effects.emplace_back(Countdown{IncomingEvent.Remaining_ - 1});
  }
  void advance(TimePoint /*Now*/, std::vector<Effect> & /*Effects*/) {}
  std::optional<TimePoint> nextDeadline() const { return std::nullopt; }
};

/// Emits one Finished at its deadline.
class AlarmRole {
public:
  using Event = Countdown;
  using Effect = Finished;

  explicit AlarmRole(TimePoint Deadline) : Deadline_(Deadline) {}

  void handle(const Event & /*Incoming*/, TimePoint /*Now*/,
              std::vector<Effect> & /*Effects*/) {}
  void advance(TimePoint Now, std::vector<Effect> &Effects) {
    if (!Deadline_ || Now < *Deadline_)
      return;
    Deadline_.reset();
    Effects.emplace_back();
  }
  std::optional<TimePoint> nextDeadline() const { return Deadline_; }

private:
  std::optional<TimePoint> Deadline_;
};

// Guards against the loss of an event that the sink returns for an
// undeliverable effect.
TEST(EventLoopThread, HandlesEventsReturnedByTheSink) {
  EventLoopThread<CountdownRole> Loop(CountdownRole{}, RingCapacity(1));
  std::promise<void> Done;
  Loop.start(
      [&](CountdownRole::Effect CurrentEffect) -> std::optional<Countdown> {
        if (auto *Next = std::get_if<Countdown>(&CurrentEffect))
          return *Next;
        Done.set_value();
        return std::nullopt;
      });
  ASSERT_TRUE(Loop.ring().tryPush(Countdown{100}));
  Done.get_future().wait();
}

// Guards against a thread that sleeps past the next deadline of its decision
// object when no event arrives.
TEST(EventLoopThread, AdvancesAtTheDeadlineWithoutEvents) {
  EventLoopThread<AlarmRole> Loop(AlarmRole(monotonicNow()), RingCapacity(1));
  std::promise<void> Done;
  Loop.start([&](Finished) -> std::optional<Countdown> {
    Done.set_value();
    return std::nullopt;
  });
  Done.get_future().wait();
}

} // namespace
} // namespace jaybridge
