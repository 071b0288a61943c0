#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <variant>
#include <vector>

namespace jaybridge {

/// Duration of a lease, counted by the holder from when it sent the request
/// that a majority granted.
constexpr Duration LeaseDuration = 6s;
/// Maximum drift between the clocks of two VMs during one lease. Their absolute
/// times need not agree.
constexpr Duration LeaseDriftMargin = LeaseDuration / 100;
/// Duration of a vote, counted by the voter from when it received the request.
constexpr Duration VoteDuration = LeaseDuration + LeaseDriftMargin;

/// Numbers a candidate's rounds of requests to the voters; unique within its
/// run.
using LeaseRound = Ordinal<struct LeaseRoundTag>;
/// Exclusive or of the hashes of all leases (service and fence) that a member
/// holds.
using HeldDigest = Ordinal<struct HeldDigestTag>;

/// A service and the fencing token under which its lease is claimed or held.
struct LeaseClaim {
  ServiceName Service_;
  FenceNumber Fence_;
};

HeldDigest digestOf(const LeaseClaim &Held);

/// Renews all leases of the sender if its digest equals that of the voter's
/// votes for the sender.
struct LeaseRenewal {
  LeaseRound Round_;
  HeldDigest Held_;
};

/// Claims services with new fence numbers. Also lists all held leases when the
/// votes of the receiving voter may differ from them.
struct LeaseRequest {
  LeaseRound Round_;
  std::vector<LeaseClaim> Held_;
  std::vector<LeaseClaim> Claims_;
};

/// Tells the voters that the sender no longer holds these leases.
struct LeaseRelease {
  std::vector<LeaseClaim> Released_;
};

/// Answer to a `LeaseRenewal` or a `LeaseRequest`.
struct LeaseAnswer {
  LeaseRound Round_;
  /// The greatest fence number known to the voter.
  FenceNumber HighestFence_;
  /// Whether all leases of a `LeaseRenewal` were renewed.
  bool IsRenewed_ = false;
  /// Claims and held leases of a `LeaseRequest` that the voter granted.
  std::vector<ServiceName> Granted_;
};

using LeaseMessage =
    std::variant<LeaseRenewal, LeaseRequest, LeaseRelease, LeaseAnswer>;

// Events and effects of LeaseCandidate.

/// The complete list of services that need an authority.
struct ServicesChanged {
  std::vector<ServiceName> Services_;
};
/// The control members that vote. Successive sets must differ in one member at
/// most, so that their majorities intersect.
struct VotersChanged {
  std::vector<MemberId> Voters_;
};

/// This daemon holds the lease of the service until `Until_`; emitted again
/// when the lease is renewed.
struct LeaseHeld {
  ServiceName Service_;
  FenceNumber Fence_;
  TimePoint Until_;
};
/// The lease expired or was released.
struct LeaseLost {
  ServiceName Service_;
  FenceNumber Fence_;
};

} // namespace jaybridge
