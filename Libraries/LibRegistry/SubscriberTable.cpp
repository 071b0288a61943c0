#include <LibRegistry/SubscriberTable.h>

namespace jaybridge {

bool SubscriberTable::renew(const MemberId &Id, LogIndex Revision,
                            TimePoint Now) {
  if (!Subscribers_.contains(Id) && Subscribers_.size() >= MaxSubscribers)
    return false;
  Subscriber &Renewed = Subscribers_[Id];
  Renewed.Revision_ = Revision;
  Renewed.RenewedAt_ = Now;
  return true;
}

bool SubscriberTable::renewIfAhead(const MemberId &Id, LogIndex Revision,
                                   TimePoint Now) {
  auto Found = Subscribers_.find(Id);
  if (Found == Subscribers_.end() || Found->second.Revision_ <= Revision)
    return false;
  Found->second.RenewedAt_ = Now;
  return true;
}

bool SubscriberTable::tryStartFullUpdate(const MemberId &Id, TimePoint Now) {
  Subscriber &Receiver = Subscribers_.at(Id);
  if (Now < Receiver.NextFullUpdateAt_)
    return false;
  Receiver.NextFullUpdateAt_ = Now + FullUpdateInterval;
  return true;
}

void SubscriberTable::recordSent(const MemberId &Id, LogIndex Revision) {
  if (auto Found = Subscribers_.find(Id); Found != Subscribers_.end())
    Found->second.Revision_ = Revision;
}

void SubscriberTable::expire(TimePoint Now) {
  std::erase_if(Subscribers_, [&](const auto &Entry) {
    return Now > Entry.second.RenewedAt_ + SubscriptionTimeout;
  });
}

} // namespace jaybridge
