#pragma once

#include <LibCore/Units.h>

namespace jaybridge {

/// Bounds retries and hedges of a service to a share of its first attempts and
/// a small reserve. Each gateway keeps the bound alone, so the fleet keeps the
/// sum without messages.
class RetryBudget {
public:
  /// Retries permitted before the first attempts have paid for any.
  static constexpr EventCount Reserve{10};
  /// Unused share is kept up to this many retries.
  static constexpr EventCount Greatest{100};

  explicit RetryBudget(Percentage Share);

  /// A share of 0 permits none. The balance stays within the bounds.
  void setShare(Percentage Share);
  void depositFirstAttempt();
  /// Takes one retry; false when none is left.
  bool withdraw();

private:
  Percentage Share_;
  /// In hundredths of a retry.
  EventCount Balance_;
};

} // namespace jaybridge
