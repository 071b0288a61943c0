#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <variant>
#include <vector>

namespace jaybridge {

/// How long a holder may rely on its lease, counted from when it sent the
/// request that a majority granted.
constexpr Duration LeaseTerm = 6s;
/// Bound on how far the clocks of two VMs drift apart during one lease. Clocks
/// need not agree on the time.
constexpr Duration LeaseDriftMargin = LeaseTerm / 100;
/// How long a voter keeps a vote, counted from when it received the request.
constexpr Duration VoteTerm = LeaseTerm + LeaseDriftMargin;

/// One request of a candidate, unique within its run.
using LeaseRound = Ordinal<struct LeaseRoundTag>;
/// Exclusive or of the hashes of all services and fences that a member holds.
using HeldDigest = Ordinal<struct HeldDigestTag>;

struct LeaseClaim {
  ServiceName Service_;
  FenceNumber Fence_;
};

HeldDigest digestOf(const LeaseClaim &Held);

/// Renews all leases of the sender when the voter has the same votes for it.
struct LeaseRenewal {
  LeaseRound Round_;
  HeldDigest Held_;
};

/// Claims services with new fence numbers, and lists held ones for a voter
/// whose votes differ.
struct LeaseRequest {
  LeaseRound Round_;
  std::vector<LeaseClaim> Held_;
  std::vector<LeaseClaim> Claims_;
};

/// The sender no longer uses these leases.
struct LeaseRelease {
  std::vector<LeaseClaim> Released_;
};

struct LeaseAnswer {
  LeaseRound Round_;
  /// The greatest fence number that the voter has seen.
  FenceNumber Highest_;
  /// The whole renewal was granted.
  bool IsRenewed_ = false;
  std::vector<ServiceName> Granted_;
};

using LeaseMessage =
    std::variant<LeaseRenewal, LeaseRequest, LeaseRelease, LeaseAnswer>;

// Events and effects of LeaseCandidate.

/// The services that need an authority.
struct ServicesChanged {
  std::vector<ServiceName> Services_;
};
/// The control members that vote. Successive sets differ in one member.
struct VotersChanged {
  std::vector<MemberId> Voters_;
};

/// This daemon is the authority until the time; given again when renewed.
struct LeaseHeld {
  ServiceName Service_;
  FenceNumber Fence_;
  TimePoint Until_;
};
struct LeaseLost {
  ServiceName Service_;
  FenceNumber Fence_;
};

} // namespace jaybridge
