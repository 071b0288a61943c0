#include <LibRegistry/SubscriberTable.h>

namespace jaybridge {

bool SubscriberTable::renew(const MemberId &Id, LogIndex Revision,
                            TimePoint Now) {
  if (!Subscribers_.contains(Id) && Subscribers_.size() >= Greatest)
    return false;
  Subscriber &Known = Subscribers_[Id];
  Known.Revision_ = Revision;
  Known.RenewedAt_ = Now;
  return true;
}

bool SubscriberTable::takeWholeTurn(const MemberId &Id, TimePoint Now) {
  Subscriber &Known = Subscribers_.at(Id);
  if (Now < Known.WholeDueAt_)
    return false;
  Known.WholeDueAt_ = Now + WholeInterval;
  return true;
}

void SubscriberTable::noteSent(const MemberId &Id, LogIndex Revision) {
  if (auto Found = Subscribers_.find(Id); Found != Subscribers_.end())
    Found->second.Revision_ = Revision;
}

void SubscriberTable::expire(TimePoint Now) {
  std::erase_if(Subscribers_, [&](const auto &Each) {
    return Now > Each.second.RenewedAt_ + Lifetime;
  });
}

} // namespace jaybridge
