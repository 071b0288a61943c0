#include <LibControl/ServiceTable.h>

namespace jaybridge {

void ServiceTable::apply(const InstanceRecord &Record) {
  Entry &Service = Entries_[Record.Service_];
  Service.Serving_.erase(Record.Id_);
  Service.Draining_.erase(Record.Id_);
  if (Record.State_ == InstanceState::Serving)
    Service.Serving_.insert(Record.Id_);
  else if (Record.State_ == InstanceState::Draining)
    Service.Draining_.insert(Record.Id_);
}

void ServiceTable::setPolicies(const std::vector<ServicePolicy> &Policies) {
  for (const ServicePolicy &Policy : Policies)
    Entries_[Policy.Service_].Policy_ = Policy;
}

void ServiceTable::setEjectedCount(const ServiceName &Service,
                                   std::size_t Count) {
  Entries_[Service].Ejected_ = EventCount(Count);
}

std::vector<ServiceStatus> ServiceTable::statuses() const {
  std::vector<ServiceStatus> Statuses;
  Statuses.reserve(Entries_.size());
  for (const auto &[Service, Counted] : Entries_)
    Statuses.push_back(
        {Service, Counted.Policy_, EventCount(Counted.Serving_.size()),
         EventCount(Counted.Draining_.size()), Counted.Ejected_});
  return Statuses;
}

} // namespace jaybridge
