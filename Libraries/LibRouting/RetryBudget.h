#pragma once

#include <LibRouting/RetryBalance.h>

namespace jaybridge {

struct RetryBudgetBounds {
  /// Retries permitted before the first attempts have paid for any.
  EventCount Reserve_{10};
  /// Unused share is kept up to this many retries.
  EventCount Greatest_{100};
  /// Spent retries are replaced by the fleet instead of by first attempts.
  bool IsPooled_ = false;
};

/// Bounds retries and hedges of a service to a share of its first attempts and
/// a small reserve. Each gateway keeps the bound alone, so the fleet keeps the
/// sum without messages.
class RetryBudget {
public:
  explicit RetryBudget(Percentage Share, RetryBudgetBounds Bounds = {});

  /// A share of 0 permits none. The balance stays within the bounds.
  void setShare(Percentage Share);
  void depositFirstAttempt();
  /// Adds retries that the fleet grants.
  void refill(EventCount Retries);
  /// Takes one retry; false when none is left.
  bool withdrawRetry();
  /// Takes one hedge; false when only the reserve is left. A hedge saves time,
  /// a retry saves the request, so hedges must not use up the retries.
  bool withdrawHedge();

private:
  bool withdraw(EventCount Kept);

  Percentage Share_;
  RetryBudgetBounds Bounds_;
  RetryBalance Balance_;
};

} // namespace jaybridge
