#pragma once

#include <LibCore/Result.h>
#include <LibRouting/GatewayMessages.h>

#include <deque>
#include <map>
#include <vector>

namespace jaybridge {

/// One step of a request and when it happened.
struct TimedStep {
  TimePoint At_;
  RecordStep Step_;
};

/// What a gateway did with the requests that it handled, newest kept longest.
/// Memory is bounded: the oldest request is forgotten first.
class RequestHistory {
public:
  static constexpr std::size_t MaxRequestCount = 20000;
  static constexpr std::size_t MaxStepsPerRequest = 64;

  void record(const RecordStep &Step, TimePoint Now);

  /// The steps of a request in order. NotFound says whether the id may have
  /// aged out: nothing older than the oldest kept request is known.
  Result<std::vector<TimedStep>> findSteps(const RequestId &Id) const;

  EventCount evictedRequestCount() const { return Forgotten_; }

private:
  std::map<RequestId, std::vector<TimedStep>> Steps_;
  std::deque<RequestId> Ages_;
  EventCount Forgotten_;
};

} // namespace jaybridge
