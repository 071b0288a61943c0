#pragma once

#include <LibRegistry/SubscriptionMessages.h>
#include <LibReplication/ReplicationMessages.h>

namespace jaybridge {

/// Numbers the questions that reach a control member from outside the fleet.
using ControlQuery = Ordinal<struct ControlQueryTag>;

// Events.

/// An instance said that it serves or drains.
struct InstanceAnnouncedItself {
  ControlQuery Query_;
  InstanceRecord Record_;
};

/// An instance said that it left. Without an incarnation the present one is
/// meant.
struct InstanceSaidGoodbye {
  ControlQuery Query_;
  InstanceId Id_;
  std::optional<Incarnation> Version_;
};

/// An operator offers a whole, valid configuration.
struct DocumentOffered {
  ControlQuery Query_;
  StoredDocument Document_;
};

struct DocumentAsked {
  ControlQuery Query_;
};

using ControlEvent =
    std::variant<ReplicationMessage, Persisted, PersistFailed,
                 SubscriptionReceived, InstanceAnnouncedItself,
                 InstanceSaidGoodbye, DocumentOffered, DocumentAsked>;

// Effects.

struct Acknowledged {
  /// A member in the instance's failure domain, for its later announcements.
  std::optional<MemberId> Nearby_;
};
/// The leader knows; this member does not.
struct AskInstead {
  MemberId Leader_;
};
struct NotAvailable {
  std::string Reason_;
};
using ControlReplyBody =
    std::variant<Acknowledged, AskInstead, NotAvailable, StoredDocument>;

struct ControlAnswered {
  ControlQuery Query_;
  ControlReplyBody Body_;
};

/// The member's view of who leads changed.
struct LeaderChanged {
  std::optional<MemberId> Leader_;
  Term Term_;
};

/// A command took effect on this member.
struct RegistryApplied {
  LogIndex Revision_;
  ConfigurationVersion Version_;
  RegistryCommand Command_;
};

/// The same message for several gateways, to be encoded once.
struct TellSubscribers {
  std::vector<MemberId> To_;
  SubscriptionMessage Message_;
};

struct SuspectsChanged {
  std::vector<InstanceId> Suspects_;
};

using ControlEffect =
    std::variant<SendReplication, PersistLog, MemberStopped, SendSubscription,
                 TellSubscribers, ControlAnswered, LeaderChanged,
                 RegistryApplied, SuspectsChanged>;

} // namespace jaybridge
