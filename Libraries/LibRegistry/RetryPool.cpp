#include <LibRegistry/RetryPool.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr std::uint64_t HundredthsPerRetry = 100;

} // namespace

void RetryPool::deposit(const ServiceName &Service, EventCount Outcomes,
                        std::size_t Members) {
  const EventCount Capacity(FleetCapacity.value() * HundredthsPerRetry /
                            std::max<std::size_t>(1, Members));
  EventCount &Balance = Balances_[Service];
  Balance = std::min(Capacity,
                     Balance + EventCount(Outcomes.value() * Share.value()));
}

EventCount RetryPool::withdraw(const ServiceName &Service, EventCount Wanted) {
  auto Found = Balances_.find(Service);
  if (Found == Balances_.end())
    return EventCount(0);
  const EventCount Granted =
      std::min(Wanted, EventCount(Found->second.value() / HundredthsPerRetry));
  Found->second -= EventCount(Granted.value() * HundredthsPerRetry);
  return Granted;
}

} // namespace jaybridge
