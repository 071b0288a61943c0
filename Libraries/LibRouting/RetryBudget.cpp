#include <LibRouting/RetryBudget.h>

namespace jaybridge {

RetryBudget::RetryBudget(Percentage Share, RetryBudgetBounds Bounds)
    : Share_(Share), Bounds_(Bounds), Balance_(Bounds.Reserve_) {}

void RetryBudget::setShare(Percentage Share) { Share_ = Share; }

void RetryBudget::depositFirstAttempt() {
  if (!Bounds_.IsRefilledByFleet_)
    Balance_.add(RetryHundredths(Share_.value()),
                 inHundredths(Bounds_.MaxBalance_));
}

void RetryBudget::refill(EventCount Retries) {
  Balance_.add(inHundredths(Retries), inHundredths(Bounds_.MaxBalance_));
}

bool RetryBudget::withdrawRetry() { return withdraw(EventCount(0)); }

bool RetryBudget::withdrawHedge() { return withdraw(Bounds_.Reserve_); }

bool RetryBudget::withdraw(EventCount Reserved) {
  return Share_ > Percentage(0) &&
         Balance_.withdraw(EventCount(1), Reserved) > EventCount(0);
}

} // namespace jaybridge
