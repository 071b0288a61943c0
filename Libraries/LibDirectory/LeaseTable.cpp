#include <LibDirectory/LeaseTable.h>

#include <algorithm>

namespace jaybridge {

bool LeaseTable::renew(RecordKey Key, TimePoint Now) {
  auto Found = Leases_.find(Key);
  if (Found == Leases_.end())
    return false;
  Found->second = {Now + Term, 0};
  return true;
}

bool LeaseTable::isHeld(RecordKey Key, TimePoint Now) const {
  auto Found = Leases_.find(Key);
  return Found != Leases_.end() && Found->second.Questions_ == 0 &&
         Found->second.DueAt_ > Now;
}

void LeaseTable::extendAll(TimePoint Now) {
  for (auto &[Key, Each] : Leases_)
    if (Each.DueAt_ < Now + Grace)
      Each = {Now + Grace, std::min<std::size_t>(Each.Questions_, 1)};
}

void LeaseTable::relyOnOther(RecordKey Key, TimePoint Now) {
  if (auto Found = Leases_.find(Key); Found != Leases_.end())
    Found->second = {Now + AnswerTimeout, 1};
}

std::vector<std::pair<RecordKey, LapseStep>>
LeaseTable::takeDue(TimePoint Now) {
  std::vector<std::pair<RecordKey, LapseStep>> Due;
  for (auto &[Key, Each] : Leases_) {
    if (Each.DueAt_ > Now)
      continue;
    bool IsLast = Each.Questions_ >= GreatestQuestions;
    Due.emplace_back(Key, IsLast ? LapseStep::Lapse : LapseStep::Ask);
    ++Each.Questions_;
    Each.DueAt_ = Now + AnswerTimeout;
  }
  return Due;
}

} // namespace jaybridge
