#pragma once

#include <LibCore/Identifier.h>

namespace jaybridge {

/// Matches the response to an operator request with the request, on the daemon
/// that received it.
using QueryId = Ordinal<struct QueryIdTag>;

} // namespace jaybridge
