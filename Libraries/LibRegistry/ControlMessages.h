#pragma once

#include <LibRegistry/SubscriptionMessages.h>
#include <LibReplication/ReplicationMessages.h>

namespace jaybridge {

/// Numbers the questions that reach a control member from outside the fleet.
using ControlRequestId = Ordinal<struct ControlQueryTag>;

// Events.

/// An instance said that it serves or drains.
struct AnnounceRequest {
  ControlRequestId RequestId_;
  InstanceRecord Record_;
};

/// An instance said that it left. Without an incarnation the present one is
/// meant.
struct DeregisterRequest {
  ControlRequestId RequestId_;
  InstanceId Id_;
  std::optional<Incarnation> Version_;
};

/// An operator offers a whole, valid configuration.
struct DocumentWriteRequest {
  ControlRequestId RequestId_;
  StoredDocument Document_;
};

struct DocumentReadRequest {
  ControlRequestId RequestId_;
};

using ControlEvent =
    std::variant<ReplicationMessage, Persisted, PersistFailed,
                 SubscriptionReceived, AnnounceRequest, DeregisterRequest,
                 DocumentWriteRequest, DocumentReadRequest>;

// Effects.

struct Acknowledged {
  /// A member in the instance's failure domain, for its later announcements.
  std::optional<MemberId> NearbyMember_;
};
/// The leader knows; this member does not.
struct RedirectToLeader {
  MemberId Leader_;
};
struct NotAvailable {
  std::string Reason_;
};
using ControlReplyBody =
    std::variant<Acknowledged, RedirectToLeader, NotAvailable, StoredDocument>;

struct ControlRequestAnswered {
  ControlRequestId RequestId_;
  ControlReplyBody Body_;
};

/// The member's view of who leads changed.
struct LeaderChanged {
  std::optional<MemberId> Leader_;
  Term Term_;
};

/// A command took effect on this member.
struct RegistryCommandApplied {
  LogIndex Revision_;
  ConfigurationVersion Version_;
  RegistryCommand Command_;
};

/// The same message for several gateways, to be encoded once.
struct NotifySubscribers {
  std::vector<MemberId> To_;
  SubscriptionMessage Message_;
};

struct EjectedInstancesChanged {
  std::vector<InstanceId> EjectedInstances_;
};

using ControlEffect =
    std::variant<SendReplication, PersistLog, MemberStopped, SendSubscription,
                 NotifySubscribers, ControlRequestAnswered, LeaderChanged,
                 RegistryCommandApplied, EjectedInstancesChanged>;

} // namespace jaybridge
