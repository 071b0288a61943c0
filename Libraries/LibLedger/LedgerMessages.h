#pragma once

#include <LibCore/Identifiers.h>
#include <LibExchange/Answer.h>
#include <LibLedger/IdempotencyKey.h>

#include <tuple>
#include <variant>

namespace jaybridge {

using ClaimNumber = Ordinal<struct ClaimNumberTag>;

/// Identifies one claim: one request with a key as received by one gateway.
/// Never reused, even after a restart of the gateway. The order of ids decides
/// which claim proceeds after a split vote.
struct ClaimId {
  /// Gateway that made the claim.
  MemberId Claimant_;
  /// Increases with each start of the claimant.
  Incarnation Incarnation_;
  ClaimNumber Number_;

  // Not defaulted, because clang-tidy 14 reports code inside defaulted
  // comparisons.
  friend bool operator==(const ClaimId &Left, const ClaimId &Right) {
    return std::tie(Left.Claimant_, Left.Incarnation_, Left.Number_) ==
           std::tie(Right.Claimant_, Right.Incarnation_, Right.Number_);
  }
  friend auto operator<=>(const ClaimId &Left, const ClaimId &Right) {
    return std::tie(Left.Claimant_, Left.Incarnation_, Left.Number_) <=>
           std::tie(Right.Claimant_, Right.Incarnation_, Right.Number_);
  }
};

// Requests from a gateway to a replica.

/// Asks for the exclusive right to dispatch requests with this key.
struct Claim {
  IdempotencyKey Key_;
  ClaimId Id_;
  Fingerprint Fingerprint_;
  /// Time from sending the claim to the deadline of the request; the replica
  /// reports a holder as overdue afterwards.
  Duration TimeLeft_{};
};

/// The claimant has not dispatched the request and never will, so the key is
/// free for other claims.
struct Release {
  IdempotencyKey Key_;
  ClaimId Id_;
};

/// The claimant dispatched the request, which ended with this answer.
struct Finish {
  IdempotencyKey Key_;
  ClaimId Id_;
  Fingerprint Fingerprint_;
  Answer Answer_;
};

using LedgerRequest = std::variant<Claim, Release, Finish>;

// Replies from a replica to a gateway.

/// This claim holds the key at the replica.
struct ClaimAccepted {};

/// Another claim holds the key at the replica.
struct ClaimHeld {
  ClaimId Holder_;
  Fingerprint Fingerprint_;
  /// The holder's TimeLeft_ has passed without a Finish or Release.
  bool IsOverdue_ = false;
};

/// An earlier claim with the key has finished with this answer.
struct ClaimFinished {
  Fingerprint Fingerprint_;
  Answer Answer_;
};

enum class AbstainReason {
  /// The key is older than the retention minus the expiry margin.
  Expired,
  /// The creation time of the key is too far ahead of the replica's clock.
  FromFuture,
  /// The replica may have accepted the key before it restarted with empty
  /// memory.
  Restarted,
  /// A limit of records or memory is reached.
  Full,
  /// The claim was already released.
  Released,
};

/// The replica does not vote on the claim.
struct ClaimAbstained {
  AbstainReason Reason_ = AbstainReason::Full;
};

using ClaimVerdict =
    std::variant<ClaimAccepted, ClaimHeld, ClaimFinished, ClaimAbstained>;

/// Reply to a Claim.
struct ClaimReply {
  ClaimId Id_;
  ClaimVerdict Verdict_;
};

/// Reply to a Release or Finish. The claimant need not send it to this replica
/// again.
struct CloseReply {
  ClaimId Id_;
};

using LedgerReply = std::variant<ClaimReply, CloseReply>;

} // namespace jaybridge
