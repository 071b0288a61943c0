#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace jaybridge {

/// Maximum number of items in a ring.
using RingCapacity = Quantity<struct RingCapacityTag, std::size_t>;

/// Bounded blocking queue between threads, implemented as a ring buffer, for
/// many producers and one consumer. A full ring refuses further items; the
/// producer counts the refusal and responds to it.
template <typename T> class BoundedRing {
public:
  explicit BoundedRing(RingCapacity Capacity) : Slots_(Capacity.value()) {
    JAYBRIDGE_VERIFY(Capacity.value() > 0);
  }

  /// Adds Item without waiting. False when the ring is full or closed; Item is
  /// then unchanged.
  [[nodiscard]] bool tryPush(T &Item) {
    return tryPush(Item, RingCapacity(Slots_.size()));
  }
  [[nodiscard]] bool tryPush(T &&Item) { return tryPush(Item); }
  /// Also false when Limit items or more are waiting. For items that may be
  /// lost and must not hold up others.
  [[nodiscard]] bool tryPush(T &Item, RingCapacity Limit) {
    {
      std::lock_guard Lock(Mutex_);
      if (IsClosed_ || Length_ >= std::min(Limit.value(), Slots_.size()))
        return false;
      pushBack(std::move(Item));
    }
    NotEmpty_.notify_one();
    return true;
  }

  /// Adds Item, waiting while the ring is full. False when the ring is closed.
  /// Only for producers whose consumer never waits for them, as both would
  /// otherwise deadlock.
  [[nodiscard]] bool push(T Item) {
    {
      std::unique_lock Lock(Mutex_);
      NotFull_.wait(Lock, [&] { return IsClosed_ || Length_ < Slots_.size(); });
      if (IsClosed_)
        return false;
      pushBack(std::move(Item));
    }
    NotEmpty_.notify_one();
    return true;
  }

  /// Removes the oldest item. Waits for one until Deadline, or without limit if
  /// Deadline is empty. Returns nothing at the deadline, and when the ring is
  /// closed and empty.
  std::optional<T>
  pop(std::optional<std::chrono::steady_clock::time_point> Deadline) {
    std::unique_lock Lock(Mutex_);
    auto IsReady = [&] { return IsClosed_ || Length_ > 0; };
    if (Deadline)
      NotEmpty_.wait_until(Lock, *Deadline, IsReady);
    else
      NotEmpty_.wait(Lock, IsReady);
    if (Length_ == 0)
      return std::nullopt;
    // Moves the value instead of the optional, because g++ 12 reports a moved
    // optional as uninitialized.
    std::optional<T> Item(std::in_place, std::move(*Slots_[FirstIndex_]));
    Slots_[FirstIndex_].reset();
    FirstIndex_ = (FirstIndex_ + 1) % Slots_.size();
    --Length_;
    Lock.unlock();
    NotFull_.notify_one();
    return Item;
  }

  /// Makes the ring refuse further items; items in the ring can still be
  /// popped.
  void close() {
    {
      std::lock_guard Lock(Mutex_);
      IsClosed_ = true;
    }
    NotEmpty_.notify_all();
    NotFull_.notify_all();
  }

  bool isClosedAndEmpty() const {
    std::lock_guard Lock(Mutex_);
    return IsClosed_ && Length_ == 0;
  }

private:
  void pushBack(T Item) {
    Slots_[(FirstIndex_ + Length_) % Slots_.size()] = std::move(Item);
    ++Length_;
  }

  mutable std::mutex Mutex_;
  std::condition_variable NotEmpty_;
  std::condition_variable NotFull_;
  std::vector<std::optional<T>> Slots_;
  std::size_t FirstIndex_ = 0;
  std::size_t Length_ = 0;
  bool IsClosed_ = false;
};

} // namespace jaybridge
