#pragma once

#include <LibRouting/RetryBalance.h>

namespace jaybridge {

struct RetryBudgetBounds {
  /// Retries permitted before any first attempt has been deposited.
  EventCount Reserve_{10};
  /// Unused retries accumulate up to this balance.
  EventCount MaxBalance_{100};
  /// True when control members grant replacements for spent retries; first
  /// attempts then add nothing.
  bool IsRefilledByFleet_ = false;
};

/// Limits retries and hedges of a service to a share of its first attempts plus
/// a small reserve. Unless the fleet refills it, each gateway enforces the
/// limit on its own, so the sum over the fleet is limited without any messages.
class RetryBudget {
public:
  explicit RetryBudget(Percentage Share, RetryBudgetBounds Bounds = {});

  /// A share of 0 permits no retries. The balance does not change.
  void setShare(Percentage Share);
  void depositFirstAttempt();
  /// Adds retries that a control member granted.
  void refill(EventCount Retries);
  /// Takes one retry; false when none is left.
  bool withdrawRetry();
  /// Takes one hedge; false when only the reserve is left. A hedge only saves
  /// latency while a retry prevents a failure, so hedges must leave retries.
  bool withdrawHedge();

private:
  bool withdraw(EventCount Reserved);

  Percentage Share_;
  RetryBudgetBounds Bounds_;
  RetryBalance Balance_;
};

} // namespace jaybridge
