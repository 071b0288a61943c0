#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>
#include <LibRouting/RetryBudget.h>

namespace jaybridge {

/// What a gateway knows about itself from the daemon's settings.
struct GatewaySettings {
  MemberId Self_;
  FailureDomain Domain_;
  /// Requests in progress at one time; further ones are refused as not run.
  EventCount GreatestRequests_ = EventCount(20000);
  /// Requests of all services that may wait for an instance.
  EventCount QueueCapacity_ = EventCount(2000);
  /// For each service of this gateway.
  RetryBudgetBounds RetryBounds_{};
};

} // namespace jaybridge
