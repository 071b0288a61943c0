#pragma once

#include <LibCore/Quantity.h>

namespace jaybridge {

/// How a gateway places requests on instances.
enum class Placement {
  /// By the requests at an instance and its latency.
  Load,
  /// By the expected work that remains at an instance and by the share of
  /// requests that it rejects.
  Cost,
};

/// Share of requests, from 0 to 1.
using RequestShare = Quantity<struct RequestShareTag, double>;

} // namespace jaybridge
