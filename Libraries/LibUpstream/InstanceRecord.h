#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>

namespace jaybridge {

enum class InstanceState {
  /// Takes work; a new instance is warmed up gradually.
  Serving,
  /// Finishes what it has and takes nothing new.
  Draining,
  /// Said that it left.
  Left,
  /// Did not renew its lease.
  Lapsed,
};

/// What the fleet knows about an instance from its announcements. Of two
/// records of one instance the greater (Version_, State_) is in force.
struct InstanceRecord {
  InstanceId Id_;
  ServiceName Service_;
  Endpoint Address_;
  FailureDomain Domain_;
  SlotCount Slots_;
  InstanceState State_ = InstanceState::Serving;
  /// Chosen by the instance at its start; rises with each announcement that
  /// changes something.
  Incarnation Version_;

  friend bool operator==(const InstanceRecord &,
                         const InstanceRecord &) = default;
};

} // namespace jaybridge
