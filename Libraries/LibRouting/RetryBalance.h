#pragma once

#include <LibCore/Units.h>

#include <algorithm>

namespace jaybridge {

using RetryHundredths = Quantity<struct RetryHundredthsTag, std::uint64_t>;

constexpr RetryHundredths inHundredths(EventCount Retries) {
  return RetryHundredths(Retries.value() * 100);
}

/// Retries that may be made, in hundredths, so that small shares of single
/// requests add up.
class RetryBalance {
public:
  explicit RetryBalance(EventCount Retries = EventCount(0))
      : Amount_(inHundredths(Retries)) {}

  /// What exceeds the greatest balance is lost.
  void add(RetryHundredths Added, RetryHundredths Greatest) {
    Amount_ = std::min(Greatest, Amount_ + Added);
  }
  /// Takes as many whole retries as there are beyond those kept, up to those
  /// wanted.
  EventCount withdraw(EventCount Wanted, EventCount Kept = EventCount(0)) {
    RetryHundredths Reserve = std::min(Amount_, inHundredths(Kept));
    EventCount Taken =
        std::min(Wanted, EventCount((Amount_ - Reserve).value() /
                                    inHundredths(EventCount(1)).value()));
    Amount_ -= inHundredths(Taken);
    return Taken;
  }

private:
  RetryHundredths Amount_;
};

} // namespace jaybridge
