#include <LibRegistry/RetryPool.h>

namespace jaybridge {

void RetryPool::deposit(const ServiceName &Service, EventCount Outcomes,
                        std::size_t Members) {
  const RetryHundredths Part(inHundredths(FleetCapacity).value() /
                             std::max<std::size_t>(1, Members));
  Balances_[Service].add(RetryHundredths(Outcomes.value() * Share.value()),
                         Part);
}

EventCount RetryPool::withdraw(const ServiceName &Service, EventCount Wanted) {
  auto Found = Balances_.find(Service);
  return Found == Balances_.end() ? EventCount(0)
                                  : Found->second.withdraw(Wanted);
}

} // namespace jaybridge
