#pragma once

#include <LibCore/Result.h>
#include <LibRouting/GatewayMessages.h>

#include <deque>
#include <map>
#include <vector>

namespace jaybridge {

/// One step of a request with its time.
struct TimedStep {
  TimePoint At_;
  RecordStep Step_;
};

/// Steps of the requests that a gateway handled. Memory is bounded: when there
/// are more than MaxRequestCount requests, the oldest is evicted.
class RequestHistory {
public:
  static constexpr std::size_t MaxRequestCount = 20000;
  static constexpr std::size_t MaxStepsPerRequest = 64;

  void record(const RecordStep &Step, TimePoint Now);

  /// Returns the steps of a request in order. The message of `NotFound` gives
  /// the number of evicted requests, as the requested one may be among them.
  Result<std::vector<TimedStep>> findSteps(const RequestId &Id) const;

  EventCount evictedRequestCount() const { return EvictedRequests_; }

private:
  std::map<RequestId, std::vector<TimedStep>> Steps_;
  std::deque<RequestId> InsertionOrder_;
  EventCount EvictedRequests_;
};

} // namespace jaybridge
