#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>

namespace jaybridge {

enum class InstanceState {
  /// Accepts requests; a new instance receives them gradually.
  Serving,
  /// Completes its current requests and accepts no new ones.
  Draining,
  /// Announced that it has left.
  Left,
  /// Did not renew its lease in time.
  Lapsed,
};

/// Published state of an instance, taken from its announcements. Of two records
/// of the same instance, the one with the greater (Version_, State_) takes
/// effect.
struct InstanceRecord {
  InstanceId Id_;
  ServiceName Service_;
  Endpoint Address_;
  FailureDomain Domain_;
  SlotCount Slots_;
  InstanceState State_ = InstanceState::Serving;
  /// Chosen by the instance at startup; increases with each announcement that
  /// changes a field.
  Incarnation Version_;

  friend bool operator==(const InstanceRecord &,
                         const InstanceRecord &) = default;
};

} // namespace jaybridge
