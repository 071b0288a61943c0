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
  return Found != Leases_.end() && Found->second.StatusRequestCount_ == 0 &&
         Found->second.ExpiresAt_ > Now;
}

void LeaseTable::extendAll(TimePoint Now) {
  for (auto &[Key, Entry] : Leases_)
    if (Entry.ExpiresAt_ < Now + MinRemainingDuration)
      Entry = {Now + MinRemainingDuration,
               std::min<std::size_t>(Entry.StatusRequestCount_, 1)};
}

void LeaseTable::deferToOtherRegistrar(RecordKey Key, TimePoint Now) {
  if (auto Found = Leases_.find(Key); Found != Leases_.end())
    Found->second = {Now + ResponseTimeout, 1};
}

std::vector<std::pair<RecordKey, ExpiredLeaseAction>>
LeaseTable::takeExpired(TimePoint Now) {
  std::vector<std::pair<RecordKey, ExpiredLeaseAction>> Expired;
  for (auto &[Key, Entry] : Leases_) {
    if (Entry.ExpiresAt_ > Now)
      continue;
    bool IsExhausted = Entry.StatusRequestCount_ >= MaxStatusRequests;
    Expired.emplace_back(Key, IsExhausted ? ExpiredLeaseAction::MarkLapsed
                                          : ExpiredLeaseAction::RequestStatus);
    ++Entry.StatusRequestCount_;
    Entry.ExpiresAt_ = Now + ResponseTimeout;
  }
  return Expired;
}

} // namespace jaybridge
