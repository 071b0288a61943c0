#pragma once

#include <LibRegistry/SubscriptionMessages.h>
#include <LibReplication/ReplicationMessages.h>

namespace jaybridge {

/// Identifies a request that an instance or operator sent to this control
/// member.
using ControlRequestId = Ordinal<struct ControlRequestIdTag>;

// Requests; each gets one ControlRequestAnswered.

/// An instance announces that it serves or drains.
struct AnnounceRequest {
  ControlRequestId RequestId_;
  InstanceRecord Record_;
};

/// An instance announces that it left. Without an incarnation, the registered
/// one is removed.
struct DeregisterRequest {
  ControlRequestId RequestId_;
  InstanceId Id_;
  std::optional<Incarnation> Version_;
};

/// An operator submits a complete configuration, which has been validated.
struct DocumentWriteRequest {
  ControlRequestId RequestId_;
  StoredDocument Document_;
};

/// An operator reads the configuration in force.
struct DocumentReadRequest {
  ControlRequestId RequestId_;
};

using ControlEvent =
    std::variant<ReplicationMessage, Persisted, PersistFailed,
                 SubscriptionReceived, AnnounceRequest, DeregisterRequest,
                 DocumentWriteRequest, DocumentReadRequest>;

// Effects.

/// The change is committed, or the registry already reflects it.
struct Acknowledged {
  /// A control member in the instance's failure domain, to which the instance
  /// sends its later announcements.
  std::optional<MemberId> NearbyMember_;
};
/// Only the leader can process the request; this member is not the leader.
struct RedirectToLeader {
  MemberId Leader_;
};
/// The request failed, or its result is not known to be committed.
struct NotAvailable {
  std::string Reason_;
};
using ControlReplyBody =
    std::variant<Acknowledged, RedirectToLeader, NotAvailable, StoredDocument>;

struct ControlRequestAnswered {
  ControlRequestId RequestId_;
  ControlReplyBody Body_;
};

/// This member learned of a new leader, or lost contact with the leader.
struct LeaderChanged {
  std::optional<MemberId> Leader_;
  Term Term_;
};

/// A command changed the registry of this member.
struct RegistryCommandApplied {
  LogIndex Revision_;
  ConfigurationVersion Version_;
  RegistryCommand Command_;
};

/// Sends a message to several gateways; it is encoded once.
struct NotifySubscribers {
  std::vector<MemberId> To_;
  SubscriptionMessage Message_;
};

/// The list of ejected instances of all services changed.
struct EjectedInstancesChanged {
  std::vector<InstanceId> EjectedInstances_;
};

/// The lists of requests that end instances changed.
struct RequestVerdictsChanged {
  RequestVerdicts Verdicts_;
};

using ControlEffect =
    std::variant<SendReplication, PersistLog, MemberStopped, SendSubscription,
                 NotifySubscribers, ControlRequestAnswered, LeaderChanged,
                 RegistryCommandApplied, EjectedInstancesChanged,
                 RequestVerdictsChanged>;

} // namespace jaybridge
