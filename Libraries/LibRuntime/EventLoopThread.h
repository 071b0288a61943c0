#pragma once

#include <LibCore/DecisionRole.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>

#include <algorithm>
#include <functional>
#include <thread>

namespace jaybridge {

/// Why an event loop is late.
enum class LoopDelay {
  /// One event took long.
  Handling,
  /// The thread did not run when its deadline was due: other threads of the
  /// process had the processor, or the machine stood still.
  Waking,
};

inline const char *loopDelayName(LoopDelay Kind) {
  return Kind == LoopDelay::Handling ? "handling" : "waking";
}

/// Event loop of one decision object on a thread of its own. Events arrive
/// through the ring; effects go to the sink on this thread. The thread sleeps
/// until an event or the object's next deadline.
///
/// The sink must not block. If it cannot deliver an effect, for example because
/// a ring is full, it returns the event that reports the failure.
template <DecisionRole Role> class EventLoopThread {
public:
  using Event = typename Role::Event;
  using Effect = typename Role::Effect;
  using Sink = std::function<std::optional<Event>(Effect)>;

  EventLoopThread(Role DecisionObject, RingCapacity Capacity)
      : Role_(std::move(DecisionObject)), Ring_(Capacity) {}
  ~EventLoopThread() { stop(); }
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  /// Delay from which it is reported. The shortest time-outs between daemons
  /// are above it.
  static constexpr Duration MinReportedDelay = 200ms;

  /// Reports delays of the loop, during which all events waited. Must be called
  /// before start().
  void reportDelays(std::function<void(LoopDelay, Duration)> Report) {
    ReportDelay_ = std::move(Report);
  }

  /// Queue of incoming events; any thread may push.
  BoundedRing<Event> &ring() { return Ring_; }

  void start(Sink Deliver) {
    Deliver_ = std::move(Deliver);
    Thread_ = std::thread([this] { run(); });
  }

  /// Closes the ring, handles the remaining events and joins the thread.
  void stop() {
    Ring_.close();
    if (Thread_.joinable())
      Thread_.join();
  }

private:
  void run() {
    TimePoint HandledAt = monotonicNow();
    while (!Ring_.isClosedAndEmpty()) {
      const std::optional<TimePoint> Deadline = Role_.nextDeadline();
      std::optional<std::chrono::steady_clock::time_point> WakeAt;
      if (Deadline)
        WakeAt = toSteadyTimePoint(*Deadline);
      std::optional<Event> Next = Ring_.pop(WakeAt);
      TimePoint Now = monotonicNow();
      if (ReportDelay_ && Deadline)
        reportDelay(LoopDelay::Waking, Now - std::max(*Deadline, HandledAt));
      Role_.advance(Now, Effects_);
      if (Next)
        Role_.handle(*Next, Now, Effects_);
      deliverEffects(Now);
      // Loops without reports save reading the clock.
      if (ReportDelay_) {
        HandledAt = monotonicNow();
        reportDelay(LoopDelay::Handling, HandledAt - Now);
      }
    }
  }

  void reportDelay(LoopDelay Kind, Duration Delay) {
    if (Delay >= MinReportedDelay)
      ReportDelay_(Kind, Delay);
  }

  // Iterates by index: handling a returned event may append further effects.
  void deliverEffects(TimePoint Now) {
    for (std::size_t Index = 0; Index < Effects_.size(); ++Index) {
      Effect CurrentEffect = std::move(Effects_[Index]);
      if (std::optional<Event> ReturnedEvent =
              Deliver_(std::move(CurrentEffect)))
        Role_.handle(*ReturnedEvent, Now, Effects_);
    }
    Effects_.clear();
  }

  Role Role_;
  BoundedRing<Event> Ring_;
  Sink Deliver_;
  std::vector<Effect> Effects_;
  std::function<void(LoopDelay, Duration)> ReportDelay_;
  std::thread Thread_;
};

} // namespace jaybridge
