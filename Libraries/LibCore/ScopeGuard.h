#pragma once

#include <utility>

namespace jaybridge {

/// Runs an action at the end of the scope, unless release() was called.
template <typename Action> class [[nodiscard]] ScopeGuard {
public:
  explicit ScopeGuard(Action OnExit) : OnExit_(std::move(OnExit)) {}
  ~ScopeGuard() {
    if (IsActive_)
      OnExit_();
  }
  ScopeGuard(const ScopeGuard &) = delete;
  ScopeGuard &operator=(const ScopeGuard &) = delete;

  void release() { IsActive_ = false; }

private:
  Action OnExit_;
  bool IsActive_ = true;
};

} // namespace jaybridge
