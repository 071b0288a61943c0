#pragma once

#include <LibUpstream/InstanceRecord.h>
#include <LibUpstream/SelectionPolicy.h>

#include <optional>

namespace jaybridge {

/// Why an instance of a pool can take no request now.
enum class UnavailableReason {
  Draining,
  /// It has left, or its lease has ended.
  Departed,
  /// The fleet has ejected it.
  Ejected,
  /// This gateway avoids it for a while after failures or refusals.
  BackingOff,
  /// It has as many requests of this gateway as its warm-up permits.
  WarmingUp,
  /// It has as many requests of this gateway as its limit permits.
  Full,
};

/// State of an instance as a selection sees it, for explanations.
struct CandidateView {
  InstanceId Instance_;
  FailureDomain Domain_;
  /// Whether the instance is in the failure domain of the gateway.
  bool IsLocal_ = false;
  /// Set for candidates only.
  std::optional<SelectionCost> Cost_;
  SlotCount InUse_;
  SlotCount Limit_;
  /// Set when the instance is no candidate.
  std::optional<UnavailableReason> Reason_;
};

} // namespace jaybridge
