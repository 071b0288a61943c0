#pragma once

#include <LibControl/Queries.h>
#include <LibCore/PeerMessage.h>
#include <LibTrace/RequestHistory.h>

#include <variant>

namespace jaybridge {

/// Asks the daemon that received a request for the request's history.
struct TraceForwarded {
  QueryId Query_;
  RequestId Request_;
};

struct TraceProvided {
  QueryId Query_;
  Result<std::vector<TimedStep>> Steps_;
};

using TraceMessage = std::variant<TraceForwarded, TraceProvided>;

} // namespace jaybridge
