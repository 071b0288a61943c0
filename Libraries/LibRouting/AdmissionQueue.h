#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// A request that waits for an instance.
struct QueuedRequest {
  RequestId Id_;
  ServiceName Service_;
  ClassWeight Weight_;
  TimePoint Deadline_;
};

/// The waiting requests of a gateway: each service takes the greatest weight
/// and then the earliest deadline first; when the gateway is full, the least
/// weight of all services makes room.
class AdmissionQueue {
public:
  explicit AdmissionQueue(EventCount Capacity) : Capacity_(Capacity) {}

  bool isFull() const { return Entries_.size() >= Capacity_.value(); }
  /// Removes and returns the least important request of the gateway if its
  /// weight is below the given one.
  std::optional<RequestId> displaceBelow(ClassWeight Weight);
  /// The queue must not be full and the id must not be in it.
  void push(QueuedRequest Waiting);
  /// Removes and returns the most important request of the service.
  std::optional<RequestId> pop(const ServiceName &Service);
  /// Does nothing when the request does not wait.
  void remove(const RequestId &Id);
  std::size_t length(const ServiceName &Service) const;

private:
  /// Orders from the most to the least important; earlier arrivals go first
  /// among equals.
  struct Rank {
    ClassWeight Weight_;
    TimePoint Deadline_;
    EventCount Arrival_;
    RequestId Id_;

    bool operator<(const Rank &Other) const;
  };
  struct Entry {
    ServiceName Service_;
    Rank Rank_;
  };

  EventCount Capacity_;
  EventCount Arrivals_;
  std::map<RequestId, Entry> Entries_;
  std::map<ServiceName, std::set<Rank>> ByService_;
  std::set<Rank> All_;
};

} // namespace jaybridge
