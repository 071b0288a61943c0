#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace jaybridge {

/// Requests that were forwarded to another daemon, their home, and are not
/// answered yet. They are looked up by home, so that they can be failed when
/// the connection to it is lost. Thread-safe.
class ForwardTable {
public:
  void setAddress(const MemberId &Home, const Endpoint &Address) {
    std::lock_guard Lock(Mutex_);
    Addresses_.insert_or_assign(Home, Address);
  }
  void add(const MemberId &Home, const RequestId &Id) {
    std::lock_guard Lock(Mutex_);
    Pending_[Home].insert(Id);
  }
  void remove(const MemberId &Home, const RequestId &Id) {
    std::lock_guard Lock(Mutex_);
    if (auto Found = Pending_.find(Home); Found != Pending_.end())
      Found->second.erase(Id);
  }
  /// Removes and returns the pending requests of a home.
  std::vector<RequestId> takeAll(const MemberId &Home) {
    std::lock_guard Lock(Mutex_);
    return takeLocked(Home);
  }
  /// Removes and returns the pending requests of all homes at an address.
  std::vector<RequestId> takeAllAt(const Endpoint &Address) {
    std::lock_guard Lock(Mutex_);
    std::vector<RequestId> Taken;
    for (const auto &[Home, HomeAddress] : Addresses_)
      if (HomeAddress == Address)
        for (RequestId &Id : takeLocked(Home))
          Taken.push_back(std::move(Id));
    return Taken;
  }

private:
  /// Requires that Mutex_ is held.
  std::vector<RequestId> takeLocked(const MemberId &Home) {
    auto Found = Pending_.find(Home);
    if (Found == Pending_.end())
      return {};
    std::vector<RequestId> Taken(Found->second.begin(), Found->second.end());
    Pending_.erase(Found);
    return Taken;
  }

  std::mutex Mutex_;
  std::map<MemberId, Endpoint> Addresses_;
  std::map<MemberId, std::set<RequestId>> Pending_;
};

} // namespace jaybridge
