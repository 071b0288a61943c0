#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// A request that waits for an available instance.
struct QueuedRequest {
  RequestId Id_;
  ServiceName Service_;
  ClassWeight Weight_;
  TimePoint Deadline_;
};

/// Priority queue of the requests that wait for an instance, over all services
/// of a gateway. Each service dispatches the highest weight first and the
/// earliest deadline among equal weights. When the queue is full, the request
/// with the lowest weight of all services is evicted in favor of one with a
/// higher weight.
class AdmissionQueue {
public:
  explicit AdmissionQueue(EventCount Capacity) : Capacity_(Capacity) {}

  bool isFull() const { return Entries_.size() >= Capacity_.value(); }
  /// Whether a request with a lower weight than the given one is queued.
  bool hasBelow(ClassWeight Weight) const {
    return !ByPriority_.empty() && ByPriority_.rbegin()->Weight_ < Weight;
  }
  /// Removes and returns the request of the lowest priority in the queue if its
  /// weight is below the given one.
  std::optional<RequestId> evictBelow(ClassWeight Weight);
  /// Precondition: the queue is not full and does not contain the id.
  void push(QueuedRequest Queued);
  /// Removes and returns the request of the highest priority of the service.
  std::optional<RequestId> pop(const ServiceName &Service);
  /// Does nothing when the request is not queued.
  void remove(const RequestId &Id);
  std::size_t length(const ServiceName &Service) const;

private:
  /// Sorts by descending weight, then by ascending deadline and arrival.
  struct Priority {
    ClassWeight Weight_;
    TimePoint Deadline_;
    EventCount ArrivalNumber_;
    RequestId Id_;

    bool operator<(const Priority &Other) const;
  };
  struct Entry {
    ServiceName Service_;
    Priority Priority_;
  };

  EventCount Capacity_;
  EventCount ArrivalCount_;
  std::map<RequestId, Entry> Entries_;
  std::map<ServiceName, std::set<Priority>> ByService_;
  std::set<Priority> ByPriority_;
};

} // namespace jaybridge
