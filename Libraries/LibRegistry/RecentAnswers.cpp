#include <LibRegistry/RecentAnswers.h>

namespace jaybridge {

void RecentAnswers::add(Fingerprint Request, TimePoint Now) {
  auto [Position, IsNew] = LastAnswers_.insert_or_assign(Request, Now);
  if (IsNew)
    Order_.push_back(Entry{Request, Now});
  expire(Now);
}

bool RecentAnswers::contains(Fingerprint Request, TimePoint Now) const {
  auto Found = LastAnswers_.find(Request);
  return Found != LastAnswers_.end() && Now <= Found->second + Retention;
}

void RecentAnswers::expire(TimePoint Now) {
  while (!Order_.empty()) {
    const Entry Oldest = Order_.front();
    const TimePoint LastAnswer = LastAnswers_.at(Oldest.Request_);
    const bool IsOld = Now > Oldest.AddedAt_ + Retention;
    if (!IsOld && Order_.size() <= MaxRequests)
      return;
    Order_.pop_front();
    // A request that was answered again takes the place of its last answer.
    if (LastAnswer > Oldest.AddedAt_ && Now <= LastAnswer + Retention)
      Order_.push_back(Entry{Oldest.Request_, LastAnswer});
    else
      LastAnswers_.erase(Oldest.Request_);
  }
}

} // namespace jaybridge
