#pragma once

#include <LibControl/QueryId.h>
#include <LibCore/PeerMessage.h>
#include <LibTrace/RequestHistory.h>

#include <variant>

namespace jaybridge {

/// Asks the daemon that received a caller's request for the steps of that
/// request.
struct TraceRequest {
  QueryId Query_;
  RequestId Request_;
};

/// Steps of a request, or the reason why they are not known.
struct TraceResponse {
  QueryId Query_;
  Result<std::vector<TimedStep>> Steps_;
};

using TraceMessage = std::variant<TraceRequest, TraceResponse>;

} // namespace jaybridge
