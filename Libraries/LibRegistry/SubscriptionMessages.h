#pragma once

#include <LibRegistry/RegistryCommand.h>

#include <LibCore/Hash.h>
#include <LibCore/Units.h>
#include <LibRouting/GatewayMessages.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// A control member and where it is.
struct ControlMember {
  MemberId Id_;
  FailureDomain Domain_;

  friend bool operator==(const ControlMember &,
                         const ControlMember &) = default;
};

/// Tells lists of members apart, so that only those that lack it get the list.
using MemberListDigest = Ordinal<struct MemberListDigestTag>;

inline MemberListDigest digestOf(const std::vector<ControlMember> &Members) {
  std::uint64_t Digest = 0;
  for (const ControlMember &Each : Members)
    Digest =
        stableHash(Each.Domain_.text(), stableHash(Each.Id_.text(), Digest));
  return MemberListDigest(Digest);
}

/// Outcomes of attempts at an instance since the last report.
struct AttemptCounts {
  InstanceId Id_;
  /// Ended without a whole answer, or not in time.
  EventCount Lost_;
  /// Answered with a failure of the instance's own.
  EventCount Errors_;
  /// No connection could be opened.
  EventCount Unreachable_;
  EventCount Successes_;

  AttemptCounts &operator+=(const AttemptCounts &Other) {
    Lost_ += Other.Lost_;
    Errors_ += Other.Errors_;
    Unreachable_ += Other.Unreachable_;
    Successes_ += Other.Successes_;
    return *this;
  }
  EventCount total() const {
    return Lost_ + Errors_ + Unreachable_ + Successes_;
  }
  bool hasFailure() const {
    return Lost_ + Errors_ + Unreachable_ > EventCount(0);
  }
};

// From a gateway to a control member.

/// Asks for the registry and its changes from a revision on; repeated to keep
/// the subscription.
struct SubscribeRequest {
  LogIndex Revision_;
  ConfigurationVersion Version_;
  /// Of the members that the gateway knows.
  MemberListDigest Members_;
};

struct AttemptReport {
  std::vector<AttemptCounts> Instances_;
  /// Spent and not replaced yet.
  std::vector<RetryCount> SpentRetries_;
};

// From a control member to a gateway.

/// The whole registry, or the changes since a revision.
struct RegistryUpdate {
  /// None when the update is whole.
  std::optional<LogIndex> BaseRevision_;
  LogIndex Revision_;
  /// Left out when the receiver has this version.
  std::optional<StoredDocument> Document_;
  /// In the place of the document, for a receiver that has the base.
  std::optional<DocumentDelta> Delta_;
  std::vector<InstanceRecord> Instances_;
  std::vector<ControlMember> Members_;
};

/// The sender hears the leader, and this revision is the newest that it knows.
struct RegistryHeartbeat {
  LogIndex Revision_;
  std::vector<InstanceId> EjectedInstances_;
  /// Left out when the receiver knows them.
  std::vector<ControlMember> Members_;
};

/// The sender does not hear the leader: what it holds may be out of date.
struct RegistryStale {};

// Between control members.

/// A follower's part of what the leader judges by.
struct FollowerReport {
  FailureDomain Domain_;
  std::vector<AttemptCounts> Instances_;
};

/// The leader's judgement, for the subscribers of its followers.
struct LeaderUpdate {
  std::vector<InstanceId> EjectedInstances_;
  std::vector<ControlMember> Members_;
};

using SubscriptionMessage =
    std::variant<SubscribeRequest, AttemptReport, RegistryUpdate,
                 RegistryHeartbeat, FollowerReport, LeaderUpdate,
                 RetriesGranted, RegistryStale>;

/// A message of another daemon.
struct SubscriptionReceived {
  MemberId From_;
  SubscriptionMessage Message_;
};

struct SendSubscription {
  MemberId To_;
  SubscriptionMessage Message_;
};

} // namespace jaybridge
