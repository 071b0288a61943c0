#pragma once

#include <LibCore/Identifiers.h>
#include <LibExchange/Answer.h>
#include <LibLedger/IdempotencyKey.h>

#include <tuple>
#include <variant>

namespace jaybridge {

using ClaimNumber = Ordinal<struct ClaimNumberTag>;

/// One reception of a request with a key at one gateway; never reused, also
/// not after a restart.
struct ClaimId {
  MemberId Claimant_;
  /// Greater in each run of the claimant.
  Incarnation Incarnation_;
  ClaimNumber Number_;

  // Written out: clang-tidy 14 reports code inside defaulted comparisons.
  friend bool operator==(const ClaimId &Left, const ClaimId &Right) {
    return std::tie(Left.Claimant_, Left.Incarnation_, Left.Number_) ==
           std::tie(Right.Claimant_, Right.Incarnation_, Right.Number_);
  }
  friend auto operator<=>(const ClaimId &Left, const ClaimId &Right) {
    return std::tie(Left.Claimant_, Left.Incarnation_, Left.Number_) <=>
           std::tie(Right.Claimant_, Right.Incarnation_, Right.Number_);
  }
};

// Gateway to replica.

struct Claim {
  IdempotencyKey Key_;
  ClaimId Id_;
  Fingerprint Fingerprint_;
  /// How long after the claim was sent the claimant may still be at work.
  Duration TimeLeft_{};
};

/// The claimant did not dispatch and never will.
struct Release {
  IdempotencyKey Key_;
  ClaimId Id_;
};

/// The claimant dispatched, and this is how it ended.
struct Finish {
  IdempotencyKey Key_;
  ClaimId Id_;
  Fingerprint Fingerprint_;
  Answer Answer_;
};

using LedgerRequest = std::variant<Claim, Release, Finish>;

// Replica to gateway.

struct ClaimAccepted {};

/// Another claim holds the key.
struct ClaimHeld {
  ClaimId Holder_;
  Fingerprint Fingerprint_;
  /// The holder's time has passed without a Finish or Release.
  bool IsOverdue_ = false;
};

struct ClaimFinished {
  Fingerprint Fingerprint_;
  Answer Answer_;
};

enum class AbstainReason {
  /// The key is older than the time for which records are kept.
  Expired,
  /// The key's time is too far ahead of the replica's.
  FromFuture,
  /// The replica started after the key may have been claimed.
  Restarted,
  Full,
  /// This claim was released before.
  Released,
};

/// The replica gives no vote.
struct ClaimAbstained {
  AbstainReason Reason_ = AbstainReason::Full;
};

using ClaimVerdict =
    std::variant<ClaimAccepted, ClaimHeld, ClaimFinished, ClaimAbstained>;

struct ClaimReply {
  ClaimId Id_;
  ClaimVerdict Verdict_;
};

/// A Release or Finish of this claim is in the replica's memory.
struct CloseReply {
  ClaimId Id_;
};

using LedgerReply = std::variant<ClaimReply, CloseReply>;

} // namespace jaybridge
