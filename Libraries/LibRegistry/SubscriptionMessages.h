#pragma once

#include <LibRegistry/EjectionSet.h>
#include <LibRegistry/RegistryCommand.h>

#include <LibCore/Hash.h>
#include <LibCore/Units.h>
#include <LibQuota/TokenMessages.h>
#include <LibRouting/GatewayMessages.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// A control member and its failure domain.
struct ControlMember {
  MemberId Id_;
  FailureDomain Domain_;

  friend bool operator==(const ControlMember &,
                         const ControlMember &) = default;
};

/// Digest of a list of members. A gateway sends the digest of its own list, so
/// that the list is only sent to gateways with a different one.
using MemberListDigest = Ordinal<struct MemberListDigestTag>;

inline MemberListDigest digestOf(const std::vector<ControlMember> &Members) {
  std::uint64_t Digest = 0;
  for (const ControlMember &Member : Members)
    Digest = stableHash(Member.Domain_.text(),
                        stableHash(Member.Id_.text(), Digest));
  return MemberListDigest(Digest);
}

/// Numbers of attempts at an instance since the last report, by outcome.
struct AttemptCounts {
  InstanceId Id_;
  /// The connection was lost before the complete response, or the attempt timed
  /// out.
  EventCount Lost_;
  /// The instance responded with a server error (5xx).
  EventCount Errors_;
  /// No connection could be opened.
  EventCount Unreachable_;
  EventCount Successes_;
  /// Attempts that became overdue. Those that end are counted by their outcome
  /// too, and in one of the next two.
  EventCount Overdue_;
  EventCount AnsweredLate_;
  EventCount NeverAnswered_;
  /// Sum of the times of the attempts that were answered.
  Duration ServiceTime_{};

  AttemptCounts &operator+=(const AttemptCounts &Added) {
    Lost_ += Added.Lost_;
    Errors_ += Added.Errors_;
    Unreachable_ += Added.Unreachable_;
    Successes_ += Added.Successes_;
    Overdue_ += Added.Overdue_;
    AnsweredLate_ += Added.AnsweredLate_;
    NeverAnswered_ += Added.NeverAnswered_;
    ServiceTime_ += Added.ServiceTime_;
    return *this;
  }
  EventCount total() const {
    return Lost_ + Errors_ + Unreachable_ + Successes_;
  }
  /// True when the counts may change which instances are ejected.
  bool isUrgent() const {
    return Lost_ + Errors_ + Unreachable_ + Overdue_ + AnsweredLate_ >
           EventCount(0);
  }
};

/// An attempt whose connection ended before the complete response, as it does
/// when the instance ends.
struct LostRequest {
  InstanceId Instance_;
  Fingerprint Fingerprint_;

  friend bool operator==(const LostRequest &, const LostRequest &) = default;
};

/// What gateways know about requests that may end instances.
struct RequestEvidence {
  std::vector<LostRequest> Lost_;
  /// Listed requests that an instance has answered.
  std::vector<Fingerprint> Answered_;

  bool isEmpty() const { return Lost_.empty() && Answered_.empty(); }
  friend bool operator==(const RequestEvidence &,
                         const RequestEvidence &) = default;
};

/// The requests that end instances, as the leader of the control members finds
/// them.
struct RequestVerdicts {
  /// Gateways object to a suspicion when they got the request answered.
  std::vector<Fingerprint> Suspected_;
  /// Gateways refuse these requests.
  std::vector<Fingerprint> Quarantined_;

  bool isEmpty() const { return Suspected_.empty() && Quarantined_.empty(); }
  friend bool operator==(const RequestVerdicts &,
                         const RequestVerdicts &) = default;
};

// Messages from a gateway to a control member.

/// Requests the registry and its changes after a revision; repeated to renew
/// the subscription.
struct SubscribeRequest {
  LogIndex Revision_;
  ConfigurationVersion Version_;
  /// Digest of the member list that the gateway has.
  MemberListDigest Members_;
  /// Digest of the ejected instances that the gateway knows.
  EjectionDigest Ejections_{};
  /// Sent at the regular interval by a gateway that misses nothing it knows of.
  bool IsRenewal_ = false;
};

/// A gateway's attempts since its last report, and its retries to replace.
struct AttemptReport {
  std::vector<AttemptCounts> Instances_;
  /// Retries that were spent and not replaced yet.
  std::vector<RetryCount> SpentRetries_;
  RequestEvidence Requests_{};
};

// Messages from a control member to a gateway.

/// A full update with the whole registry, or the changes since a revision.
struct RegistryUpdate {
  /// The revision before the changes; none in a full update.
  std::optional<LogIndex> BaseRevision_;
  LogIndex Revision_;
  /// Omitted if the receiver has this version.
  std::optional<StoredDocument> Document_;
  /// Replaces the document for a receiver that has its base version.
  std::optional<DocumentDelta> Delta_;
  std::vector<InstanceRecord> Instances_;
  std::vector<ControlMember> Members_;
};

/// The sender is in contact with the leader; the revision is the newest that it
/// has applied.
struct RegistryHeartbeat {
  LogIndex Revision_;
  /// Since the previous heartbeat; the whole list for a receiver that knows
  /// another one.
  EjectionChange Ejections_;
  /// Omitted if the receiver has the same list.
  std::vector<ControlMember> Members_;
  RequestVerdicts Requests_{};
};

/// The sender lost contact with the leader; its registry may be stale.
struct RegistryStale {};

// Messages between control members.

/// The attempts that were reported to a follower, for the leader's decisions.
struct FollowerReport {
  FailureDomain Domain_;
  std::vector<AttemptCounts> Instances_;
  RequestEvidence Requests_{};
  /// The follower's lists are not those that the leader stated last.
  bool NeedsWholeLists_ = false;
};

/// The leader's decisions, which its followers pass on to their subscribers.
struct LeaderUpdate {
  /// Since the previous update, or the whole list.
  EjectionChange Ejections_;
  MemberListDigest MembersDigest_;
  /// Omitted unless the list has changed or the follower needs it.
  std::vector<ControlMember> Members_;
  RequestVerdicts Requests_{};
};

using SubscriptionMessage =
    std::variant<SubscribeRequest, AttemptReport, RegistryUpdate,
                 RegistryHeartbeat, FollowerReport, LeaderUpdate,
                 RetriesGranted, RegistryStale, TokenRequest, TokenGrant>;

/// A message arrived from another daemon.
struct SubscriptionReceived {
  MemberId From_;
  SubscriptionMessage Message_;
};

struct SendSubscription {
  MemberId To_;
  SubscriptionMessage Message_;
};

} // namespace jaybridge
