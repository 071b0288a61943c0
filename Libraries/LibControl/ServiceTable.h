#pragma once

#include <LibControl/FleetMessages.h>

#include <map>
#include <set>

namespace jaybridge {

/// Counts the instances of each service by state, for operators.
class ServiceTable {
public:
  void apply(const InstanceRecord &Record);
  void setPolicies(const std::vector<ServicePolicy> &Policies);
  void setEjectedCount(const ServiceName &Service, std::size_t Count);

  std::vector<ServiceStatus> statuses() const;

private:
  struct Entry {
    std::optional<ServicePolicy> Policy_;
    std::set<InstanceId> Serving_;
    std::set<InstanceId> Draining_;
    EventCount Ejected_;
  };

  std::map<ServiceName, Entry> Entries_;
};

} // namespace jaybridge
