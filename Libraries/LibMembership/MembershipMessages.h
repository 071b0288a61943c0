#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Units.h>
#include <LibMembership/MemberRecord.h>

#include <variant>
#include <vector>

namespace jaybridge {

/// Number of a probe, unique per daemon until it restarts. 0 stands for
/// messages that are not part of a probe.
using ProbeNumber = Ordinal<struct ProbeNumberTag>;
/// Hash over the live members of one bucket. Members with the same view of the
/// bucket compute the same hash.
using BucketHash = Ordinal<struct BucketHashTag>;
/// Number of buckets into which members are divided by a hash of their id.
using BucketCount = Quantity<struct BucketCountTag, std::uint32_t>;
using BucketIndex = Ordinal<struct BucketIndexTag>;

/// Identifies one of `BucketCount_` buckets of members.
struct MemberBucket {
  BucketCount BucketCount_{1};
  BucketIndex Index_;
};

/// Membership records that are piggybacked on another message or sent in a
/// list.
using MemberUpdates = std::vector<MemberRecord>;

/// Probes the receiver. Carries the hash of one bucket, so that the receiver
/// can detect and repair differences of the views.
struct Ping {
  ProbeNumber Probe_;
  MemberBucket Bucket_;
  BucketHash Hash_;
  MemberUpdates Updates_;
};

/// Reply to a Ping, with the number of its probe.
struct PingAck {
  ProbeNumber Probe_;
  MemberUpdates Updates_;
};

/// Asks the receiver to probe a member that did not acknowledge the sender's
/// Ping (`ping-req` in SWIM).
struct IndirectPing {
  ProbeNumber Probe_;
  MemberId Target_;
  MemberUpdates Updates_;
};

/// Result of an indirect probe. A negative result (`nack` in Lifeguard, Dadgar
/// et al. 2018) shows the requester that its own connection works.
struct IndirectPingResult {
  ProbeNumber Probe_;
  bool IsReached_ = false;
  MemberUpdates Updates_;
};

/// Introduces the sender and requests the members with ids after `After_`.
struct MembersRequest {
  MemberRecord Self_;
  MemberId After_;
};

/// Reply to a MembersRequest: one page of records in order of ids. The first
/// page ends with the record of its sender.
struct MembersPage {
  MemberUpdates Records_;
  bool IsLast_ = true;
};

/// Records of a bucket of which sender and receiver have different hashes. The
/// reply, with `IsAnswer_`, carries only records that are newer or missing
/// there.
struct BucketRecords {
  MemberBucket Bucket_;
  bool IsAnswer_ = false;
  MemberUpdates Records_;
};

using MembershipMessage =
    std::variant<Ping, PingAck, IndirectPing, IndirectPingResult,
                 MembersRequest, MembersPage, BucketRecords>;

/// The daemon is shutting down and notifies its peers first.
struct LeaveRequested {};

/// A message to an address whose member id is not yet known.
struct SendToEndpoint {
  Endpoint To_;
  MembershipMessage Message_;
};

/// A member joined, changed its address or incarnation, died or left. Precedes
/// any message to that member, so that the transport knows its address.
struct MemberChanged {
  MemberRecord Record_;
};

/// The peers were notified and LeaveDuration has passed; the process may exit.
struct LeaveFinished {};

} // namespace jaybridge
