#include <LibDirectory/LeaseTable.h>

#include <algorithm>

namespace jaybridge {

bool LeaseTable::renew(RecordKey Key, TimePoint Now) {
  auto Found = Leases_.find(Key);
  if (Found == Leases_.end())
    return false;
  Found->second = {Now + LeaseDuration, 0};
  return true;
}

bool LeaseTable::isHeld(RecordKey Key, TimePoint Now) const {
  auto Found = Leases_.find(Key);
  return Found != Leases_.end() && Found->second.StatusRequests_ == 0 &&
         Found->second.DueAt_ > Now;
}

void LeaseTable::extendAll(TimePoint Now) {
  for (auto &[Key, Each] : Leases_)
    if (Each.DueAt_ < Now + MinExtension)
      Each = {Now + MinExtension, std::min<std::size_t>(Each.StatusRequests_, 1)};
}

void LeaseTable::deferToOtherRegistrar(RecordKey Key, TimePoint Now) {
  if (auto Found = Leases_.find(Key); Found != Leases_.end())
    Found->second = {Now + ResponseTimeout, 1};
}

std::vector<std::pair<RecordKey, ExpiredLeaseAction>>
LeaseTable::takeExpired(TimePoint Now) {
  std::vector<std::pair<RecordKey, ExpiredLeaseAction>> Due;
  for (auto &[Key, Each] : Leases_) {
    if (Each.DueAt_ > Now)
      continue;
    bool IsLast = Each.StatusRequests_ >= MaxStatusRequests;
    Due.emplace_back(Key, IsLast ? ExpiredLeaseAction::Lapse : ExpiredLeaseAction::Ask);
    ++Each.StatusRequests_;
    Each.DueAt_ = Now + ResponseTimeout;
  }
  return Due;
}

} // namespace jaybridge
