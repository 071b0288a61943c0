#include <LibControl/HomeTable.h>

#include <algorithm>

namespace jaybridge {

void HomeTable::apply(const MemberRecord &Record, TimePoint Now) {
  Homes_.apply(Record);
  if (!ChooseAt_)
    ChooseAt_ = Now + SettleTime;
}

void HomeTable::setServices(const std::vector<ServicePolicy> &Policies,
                            TimePoint Now) {
  for (const ServicePolicy &Policy : Policies)
    Chosen_.try_emplace(Policy.Service_);
  if (!ChooseAt_)
    ChooseAt_ = Now + SettleTime;
}

void HomeTable::advance(TimePoint Now, std::vector<FleetEffect> &Out) {
  if (!ChooseAt_ || Now < *ChooseAt_)
    return;
  ChooseAt_.reset();
  for (auto &[Service, Before] : Chosen_) {
    std::vector<MemberId> Preferred = preferredFor(Service);
    if (Preferred == Before)
      continue;
    Before = Preferred;
    Out.emplace_back(HomesChanged{Service, std::move(Preferred)});
  }
}

std::vector<MemberId>
HomeTable::preferredFor(const ServiceName &Service) const {
  std::vector<MemberId> All = Homes_.homesFor(Service);
  if (std::find(All.begin(), All.end(), Self_) != All.end())
    return {};
  std::vector<MemberId> Near = Homes_.homesFor(Service, Domain_);
  auto IsNear = [&](const MemberId &Id) {
    return std::find(Near.begin(), Near.end(), Id) != Near.end();
  };
  std::stable_partition(All.begin(), All.end(), IsNear);
  return All;
}

} // namespace jaybridge
