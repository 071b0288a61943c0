#pragma once

#include <LibCore/Units.h>

#include <algorithm>

namespace jaybridge {

/// Hundredths of a retry.
using RetryHundredths = Quantity<struct RetryHundredthsTag, std::uint64_t>;

constexpr RetryHundredths inHundredths(EventCount Retries) {
  return RetryHundredths(Retries.value() * 100);
}

/// Number of permitted retries. It is counted in hundredths, so that the
/// percentages that single requests add are not rounded away.
class RetryBalance {
public:
  explicit RetryBalance(EventCount Retries = EventCount(0))
      : Amount_(inHundredths(Retries)) {}

  /// Adds retries; an excess over the maximum balance is discarded.
  void add(RetryHundredths Added, RetryHundredths Max) {
    Amount_ = std::min(Max, Amount_ + Added);
  }
  /// Takes up to the requested number of whole retries and returns how many.
  /// The reserved retries stay in the balance.
  EventCount withdraw(EventCount Requested,
                      EventCount Reserved = EventCount(0)) {
    RetryHundredths ReservedAmount = std::min(Amount_, inHundredths(Reserved));
    EventCount Taken =
        std::min(Requested, EventCount((Amount_ - ReservedAmount).value() /
                                       inHundredths(EventCount(1)).value()));
    Amount_ -= inHundredths(Taken);
    return Taken;
  }

private:
  RetryHundredths Amount_;
};

} // namespace jaybridge
