#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>

// Internal header of the caller listener.

namespace jaybridge {

/// Counts the requests whose response is not yet written completely.
class UnwrittenAnswers {
public:
  bool waitUntilNone(Duration Timeout) {
    std::unique_lock Lock(Mutex_);
    return AllWritten_.wait_for(Lock, Timeout, [this] { return Count_ == 0; });
  }

private:
  friend class AnswerToken;
  void add() {
    std::lock_guard Lock(Mutex_);
    ++Count_;
  }
  void remove() {
    std::lock_guard Lock(Mutex_);
    if (--Count_ == 0)
      AllWritten_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable AllWritten_;
  std::size_t Count_ = 0;
};

/// Counts one request in UnwrittenAnswers while it exists.
class AnswerToken {
public:
  AnswerToken() = default;
  explicit AnswerToken(UnwrittenAnswers &Counted) : Counted_(&Counted) {
    Counted_->add();
  }
  ~AnswerToken() {
    if (Counted_ != nullptr)
      Counted_->remove();
  }
  AnswerToken(AnswerToken &&Other) noexcept
      : Counted_(std::exchange(Other.Counted_, nullptr)) {}
  AnswerToken &operator=(AnswerToken &&Other) noexcept {
    std::swap(Counted_, Other.Counted_);
    return *this;
  }

private:
  UnwrittenAnswers *Counted_ = nullptr;
};

} // namespace jaybridge
