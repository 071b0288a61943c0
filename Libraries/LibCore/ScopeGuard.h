#pragma once

#include <utility>

namespace jaybridge {

/// Runs an action at the end of the scope unless it was released.
template <typename Action> class [[nodiscard]] ScopeGuard {
public:
  explicit ScopeGuard(Action OnExit) : OnExit_(std::move(OnExit)) {}
  ~ScopeGuard() {
    if (Armed_)
      OnExit_();
  }
  ScopeGuard(const ScopeGuard &) = delete;
  ScopeGuard &operator=(const ScopeGuard &) = delete;

  void release() { Armed_ = false; }

private:
  Action OnExit_;
  bool Armed_ = true;
};

} // namespace jaybridge
