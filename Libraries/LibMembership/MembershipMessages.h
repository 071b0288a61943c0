#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Units.h>
#include <LibMembership/MemberRecord.h>

#include <variant>
#include <vector>

namespace jaybridge {

/// One probe of one daemon, unique within the daemon's run.
using ProbeNumber = Ordinal<struct ProbeNumberTag>;
/// Hash over the live members of one bucket, equal where the views agree.
using BucketHash = Ordinal<struct BucketHashTag>;
/// Buckets that members are divided into by their id.
using BucketCount = Quantity<struct BucketCountTag, std::uint32_t>;
using BucketIndex = Ordinal<struct BucketIndexTag>;

/// Names one bucket of one division of the members.
struct MemberBucket {
  BucketCount BucketCount_{1};
  BucketIndex Index_;
};

using MemberUpdates = std::vector<MemberRecord>;

struct Ping {
  ProbeNumber Probe_;
  MemberBucket Bucket_;
  BucketHash Hash_;
  MemberUpdates Updates_;
};

struct PingAck {
  ProbeNumber Probe_;
  MemberUpdates Updates_;
};

/// Asks the receiver to probe a member that did not answer the sender.
struct IndirectPing {
  ProbeNumber Probe_;
  MemberId Target_;
  MemberUpdates Updates_;
};

/// Outcome of an indirect probe. A negative answer shows the asker that its
/// own connection works (Lifeguard, Dadgar et al. 2018).
struct IndirectPingResult {
  ProbeNumber Probe_;
  bool IsReached_ = false;
  MemberUpdates Updates_;
};

/// Introduces the sender and asks for the members that follow `After_`.
struct MembersRequest {
  MemberRecord Self_;
  MemberId After_;
};

struct MembersPage {
  MemberUpdates Records_;
  bool IsLast_ = true;
};

/// All records of a bucket whose hashes differ, or the answer to them.
struct BucketRecords {
  MemberBucket Bucket_;
  bool IsAnswer_ = false;
  MemberUpdates Records_;
};

using MembershipMessage =
    std::variant<Ping, PingAck, IndirectPing, IndirectPingResult,
                 MembersRequest, MembersPage, BucketRecords>;

/// The daemon shuts down; its peers are told before it ends.
struct LeaveRequested {};

/// A message to an address whose member is not known yet.
struct SendToEndpoint {
  Endpoint To_;
  MembershipMessage Message_;
};

/// A member appeared, changed its address or incarnation, died or left. Is
/// given before any message to that member, so that its address is known.
struct MemberChanged {
  MemberRecord Record_;
};

/// The leave was sent often enough; the process may end.
struct LeaveFinished {};

} // namespace jaybridge
