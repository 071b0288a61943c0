#include <LibRegistry/RetryPool.h>

namespace jaybridge {

void RetryPool::deposit(const ServiceName &Service, EventCount Outcomes,
                        std::size_t MemberCount) {
  const RetryHundredths Capacity =
      std::max(inHundredths(EventCount(1)),
               RetryHundredths(inHundredths(FleetCapacity_).value() /
                               std::max<std::size_t>(1, MemberCount)));
  Balances_[Service].add(
      RetryHundredths(Outcomes.value() * DepositShare.value()), Capacity);
}

EventCount RetryPool::withdraw(const ServiceName &Service,
                               EventCount Requested) {
  auto Found = Balances_.find(Service);
  return Found == Balances_.end() ? EventCount(0)
                                  : Found->second.withdraw(Requested);
}

} // namespace jaybridge
