#include <LibControl/HomeTable.h>

#include <algorithm>

namespace jaybridge {

void HomeTable::apply(const MemberRecord &Record, TimePoint Now) {
  Homes_.apply(Record);
  if (!UpdateAt_)
    UpdateAt_ = Now + BatchInterval;
}

void HomeTable::setServices(const std::vector<ServicePolicy> &Policies,
                            TimePoint Now) {
  for (const ServicePolicy &Policy : Policies)
    PreferredHomes_.try_emplace(Policy.Service_);
  if (!UpdateAt_)
    UpdateAt_ = Now + BatchInterval;
}

void HomeTable::advance(TimePoint Now, std::vector<FleetEffect> &Out) {
  if (!UpdateAt_ || Now < *UpdateAt_)
    return;
  UpdateAt_.reset();
  for (auto &[Service, Previous] : PreferredHomes_) {
    std::vector<MemberId> Preferred = preferredHomes(Service);
    if (Preferred == Previous)
      continue;
    Previous = Preferred;
    Out.emplace_back(HomesChanged{Service, std::move(Preferred)});
  }
}

std::vector<MemberId>
HomeTable::preferredHomes(const ServiceName &Service) const {
  std::vector<MemberId> All = Homes_.homesFor(Service);
  if (std::find(All.begin(), All.end(), Self_) != All.end())
    return {};
  std::vector<MemberId> Local = Homes_.homesFor(Service, Domain_);
  auto IsLocal = [&](const MemberId &Id) {
    return std::find(Local.begin(), Local.end(), Id) != Local.end();
  };
  std::stable_partition(All.begin(), All.end(), IsLocal);
  return All;
}

} // namespace jaybridge
