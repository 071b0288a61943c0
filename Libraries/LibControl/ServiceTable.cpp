#include <LibControl/ServiceTable.h>

namespace jaybridge {

void ServiceTable::apply(const InstanceRecord &Record) {
  Entry &Changed = Entries_[Record.Service_];
  Changed.Serving_.erase(Record.Id_);
  Changed.Draining_.erase(Record.Id_);
  if (Record.State_ == InstanceState::Serving)
    Changed.Serving_.insert(Record.Id_);
  else if (Record.State_ == InstanceState::Draining)
    Changed.Draining_.insert(Record.Id_);
}

void ServiceTable::setPolicies(const std::vector<ServicePolicy> &Policies) {
  for (const ServicePolicy &Policy : Policies)
    Entries_[Policy.Service_].Policy_ = Policy;
}

void ServiceTable::setEjected(const ServiceName &Service, std::size_t Count) {
  Entries_[Service].Ejected_ = EventCount(Count);
}

std::vector<ServiceStatus> ServiceTable::statuses() const {
  std::vector<ServiceStatus> Found;
  Found.reserve(Entries_.size());
  for (const auto &[Service, Known] : Entries_)
    Found.push_back({Service, Known.Policy_, EventCount(Known.Serving_.size()),
                     EventCount(Known.Draining_.size()), Known.Ejected_});
  return Found;
}

} // namespace jaybridge
