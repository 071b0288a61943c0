#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr std::uint64_t HundredthsPerRetry = 100;

constexpr EventCount inHundredths(EventCount Retries) {
  return EventCount(Retries.value() * HundredthsPerRetry);
}

} // namespace

RetryBudget::RetryBudget(Percentage Share, RetryBudgetBounds Bounds)
    : Share_(Share), Bounds_(Bounds), Balance_(inHundredths(Bounds.Reserve_)) {}

void RetryBudget::setShare(Percentage Share) { Share_ = Share; }

void RetryBudget::depositFirstAttempt() {
  if (Bounds_.IsPooled_)
    return;
  Balance_ = std::min(inHundredths(Bounds_.Greatest_),
                      Balance_ + EventCount(Share_.value()));
}

void RetryBudget::refill(EventCount Retries) {
  Balance_ = std::min(inHundredths(Bounds_.Greatest_),
                      Balance_ + inHundredths(Retries));
}

bool RetryBudget::withdrawRetry() { return withdraw(EventCount(0)); }

bool RetryBudget::withdrawHedge() {
  return withdraw(inHundredths(Bounds_.Reserve_));
}

bool RetryBudget::withdraw(EventCount Kept) {
  constexpr EventCount Price(HundredthsPerRetry);
  if (Share_ == Percentage(0) || Balance_ < Kept + Price)
    return false;
  Balance_ -= Price;
  return true;
}

} // namespace jaybridge
