#pragma once

#include <LibCore/DecisionRole.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>

#include <functional>
#include <thread>

namespace jaybridge {

/// Hosts one decision object on a thread of its own. Events arrive through the
/// ring; effects go to the sink on this thread. The thread sleeps until an
/// event or the object's next deadline.
///
/// The sink must not wait. An effect that cannot be delivered, because a ring
/// is full for instance, comes back from it as the event that says so.
template <DecisionRole Role> class EventLoopThread {
public:
  using Event = typename Role::Event;
  using Effect = typename Role::Effect;
  using Sink = std::function<std::optional<Event>(Effect)>;

  EventLoopThread(Role Hosted, RingCapacity Capacity)
      : Hosted_(std::move(Hosted)), Ring_(Capacity) {}
  ~EventLoopThread() { stop(); }
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  BoundedRing<Event> &ring() { return Ring_; }

  void start(Sink Deliver) {
    Deliver_ = std::move(Deliver);
    Thread_ = std::thread([this] { run(); });
  }

  /// Handles what the ring still holds, then ends the thread.
  void stop() {
    Ring_.close();
    if (Thread_.joinable())
      Thread_.join();
  }

private:
  void run() {
    while (!Ring_.isClosedAndEmpty()) {
      std::optional<std::chrono::steady_clock::time_point> WakeAt;
      if (auto Deadline = Hosted_.nextDeadline())
        WakeAt = toSteadyTimePoint(*Deadline);
      std::optional<Event> Next = Ring_.pop(WakeAt);
      TimePoint Now = monotonicNow();
      Hosted_.advance(Now, Effects_);
      if (Next)
        Hosted_.handle(*Next, Now, Effects_);
      deliverEffects(Now);
    }
  }

  // Handling a returned event may append further effects.
  void deliverEffects(TimePoint Now) {
    for (std::size_t Index = 0; Index < Effects_.size(); ++Index) {
      Effect Each = std::move(Effects_[Index]);
      if (std::optional<Event> Returned = Deliver_(std::move(Each)))
        Hosted_.handle(*Returned, Now, Effects_);
    }
    Effects_.clear();
  }

  Role Hosted_;
  BoundedRing<Event> Ring_;
  Sink Deliver_;
  std::vector<Effect> Effects_;
  std::thread Thread_;
};

} // namespace jaybridge
