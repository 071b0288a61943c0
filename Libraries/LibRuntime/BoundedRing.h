#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Verify.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace jaybridge {

using RingCapacity = Quantity<struct RingCapacityTag, std::size_t>;

/// Blocking queue of bounded length between threads, for many producers and
/// one consumer. A full ring refuses the item: the producer counts and answers.
template <typename T> class BoundedRing {
public:
  explicit BoundedRing(RingCapacity Capacity) : Slots_(Capacity.value()) {
    JAYBRIDGE_VERIFY(Capacity.value() > 0);
  }

  /// False when the ring is full or closed; Item is then unchanged.
  [[nodiscard]] bool tryPush(T &Item) {
    {
      std::lock_guard Lock(Mutex_);
      if (Closed_ || Length_ == Slots_.size())
        return false;
      append(std::move(Item));
    }
    NotEmpty_.notify_one();
    return true;
  }
  [[nodiscard]] bool tryPush(T &&Item) { return tryPush(Item); }

  /// Waits for space. False when the ring is closed. Only for producers whose
  /// consumer never waits for them.
  [[nodiscard]] bool push(T Item) {
    {
      std::unique_lock Lock(Mutex_);
      NotFull_.wait(Lock, [&] { return Closed_ || Length_ < Slots_.size(); });
      if (Closed_)
        return false;
      append(std::move(Item));
    }
    NotEmpty_.notify_one();
    return true;
  }

  /// Waits for an item until Deadline, or without limit when there is none.
  /// Nothing is returned at the deadline or when the ring is closed and empty.
  std::optional<T>
  pop(std::optional<std::chrono::steady_clock::time_point> Deadline) {
    std::unique_lock Lock(Mutex_);
    auto Ready = [&] { return Closed_ || Length_ > 0; };
    if (Deadline)
      NotEmpty_.wait_until(Lock, *Deadline, Ready);
    else
      NotEmpty_.wait(Lock, Ready);
    if (Length_ == 0)
      return std::nullopt;
    // Moved by value: g++ 12 reports the moved optional as uninitialized.
    std::optional<T> Item(std::in_place, std::move(*Slots_[First_]));
    Slots_[First_].reset();
    First_ = (First_ + 1) % Slots_.size();
    --Length_;
    Lock.unlock();
    NotFull_.notify_one();
    return Item;
  }

  /// Refuses further items; those inside can still be taken.
  void close() {
    {
      std::lock_guard Lock(Mutex_);
      Closed_ = true;
    }
    NotEmpty_.notify_all();
    NotFull_.notify_all();
  }

  bool isClosedAndEmpty() const {
    std::lock_guard Lock(Mutex_);
    return Closed_ && Length_ == 0;
  }

private:
  void append(T Item) {
    Slots_[(First_ + Length_) % Slots_.size()] = std::move(Item);
    ++Length_;
  }

  mutable std::mutex Mutex_;
  std::condition_variable NotEmpty_;
  std::condition_variable NotFull_;
  std::vector<std::optional<T>> Slots_;
  std::size_t First_ = 0;
  std::size_t Length_ = 0;
  bool Closed_ = false;
};

} // namespace jaybridge
