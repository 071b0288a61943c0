#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>
#include <LibRouting/RetryBudget.h>
#include <LibUpstream/Placement.h>

namespace jaybridge {

/// Settings of a gateway, which the daemon derives from its own.
struct GatewaySettings {
  MemberId Self_;
  FailureDomain Domain_;
  /// Maximum requests in progress. Further ones are refused as not-run.
  EventCount MaxRequests_ = EventCount(20000);
  /// Maximum queued requests of all services together.
  EventCount QueueCapacity_ = EventCount(2000);
  /// Applies to each service separately.
  RetryBudgetBounds RetryBounds_{};
  Placement Placement_ = Placement::Load;
};

} // namespace jaybridge
