#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace jaybridge {

/// Requests that were forwarded and not answered yet, by home, so that they
/// end when the connection to the home is lost.
class ForwardTable {
public:
  void setAddress(const MemberId &Home, const Endpoint &Address) {
    std::lock_guard Lock(Mutex_);
    Addresses_.insert_or_assign(Home, Address);
  }
  void add(const MemberId &Home, const RequestId &Id) {
    std::lock_guard Lock(Mutex_);
    Open_[Home].insert(Id);
  }
  void remove(const MemberId &Home, const RequestId &Id) {
    std::lock_guard Lock(Mutex_);
    if (auto Found = Open_.find(Home); Found != Open_.end())
      Found->second.erase(Id);
  }
  std::vector<RequestId> takeAll(const MemberId &Home) {
    std::lock_guard Lock(Mutex_);
    return takeLocked(Home);
  }
  std::vector<RequestId> takeAllAt(const Endpoint &Address) {
    std::lock_guard Lock(Mutex_);
    std::vector<RequestId> Taken;
    for (const auto &[Home, Known] : Addresses_)
      if (Known == Address)
        for (RequestId &Id : takeLocked(Home))
          Taken.push_back(std::move(Id));
    return Taken;
  }

private:
  std::vector<RequestId> takeLocked(const MemberId &Home) {
    auto Found = Open_.find(Home);
    if (Found == Open_.end())
      return {};
    std::vector<RequestId> Taken(Found->second.begin(), Found->second.end());
    Open_.erase(Found);
    return Taken;
  }

  std::mutex Mutex_;
  std::map<MemberId, Endpoint> Addresses_;
  std::map<MemberId, std::set<RequestId>> Open_;
};

} // namespace jaybridge
