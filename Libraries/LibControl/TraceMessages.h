#pragma once

#include <LibControl/QueryId.h>
#include <LibCore/PeerMessage.h>
#include <LibTrace/RequestHistory.h>

#include <variant>

namespace jaybridge {

/// Asks the daemon that received a request for the request's history.
struct TraceRequest {
  QueryId Query_;
  RequestId Request_;
};

struct TraceResponse {
  QueryId Query_;
  Result<std::vector<TimedStep>> Steps_;
};

using TraceMessage = std::variant<TraceRequest, TraceResponse>;

} // namespace jaybridge
