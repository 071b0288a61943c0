#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibLedger/LedgerMessages.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// Limits of a LedgerReplica on time and memory.
struct LedgerLimits {
  /// A record is discarded this long after the creation time in its key.
  std::chrono::milliseconds Retention_ = std::chrono::minutes(10);
  /// New claims on a key are refused this long before its record is discarded.
  std::chrono::milliseconds ExpiryMargin_ = std::chrono::seconds(30);
  /// How far the creation time of a key may be ahead of the replica's clock.
  std::chrono::milliseconds FutureTolerance_ = std::chrono::seconds(30);
  EventCount MaxRecordCount_{100'000};
  ByteCount MaxBytes_{64ULL << 20};
  /// A larger answer is replaced by a refusal with the outcome `ran`.
  ByteCount MaxStoredAnswerSize_{64ULL << 10};
};

/// Claims by verdict, and answers that were too large to store.
struct LedgerCounters {
  EventCount Accepted_;
  EventCount Held_;
  EventCount Abstained_;
  /// Abstained because a limit was reached; included in Abstained_.
  EventCount AbstainedAtLimit_;
  EventCount StoredWithoutBody_;
};

/// Stores the records of claimed keys on one control member, in memory only.
///
/// For every key a replica accepts at most one claim that was not released.
/// Three rules ensure this: the replica's time never goes backwards, a key
/// expires before its record is discarded, and a replica that restarted with
/// empty memory abstains on every key that it may have accepted before. The
/// last rule assumes that the VM's clock does not go backwards across a
/// restart.
class LedgerReplica {
public:
  /// Error when a duration is negative or the retention is not greater than the
  /// expiry margin.
  static Result<LedgerReplica> create(LedgerLimits Limits, WallTime Start);

  /// Accepts the claim, reports the claim that holds the key or the answer
  /// stored for it, or abstains. Idempotent.
  ClaimReply claim(const Claim &Request, WallTime Now);
  /// Frees the key if this claim holds it, and rejects late copies of the
  /// claim. Idempotent.
  CloseReply release(const Release &Request, WallTime Now);
  /// Stores the answer unless the key already has one. Idempotent. Returns
  /// nullopt when the key has no record and none can be added.
  std::optional<CloseReply> finish(const Finish &Request, WallTime Now);
  /// Calls claim, release or finish according to the request.
  std::optional<LedgerReply> handle(const LedgerRequest &Request, WallTime Now);

  EventCount recordCount() const { return EventCount(Records_.size()); }
  ByteCount bytes() const { return Bytes_; }
  const LedgerCounters &counters() const { return Counters_; }

private:
  struct Record {
    std::optional<ClaimId> Holder_;
    Fingerprint Fingerprint_;
    WallTime OverdueAt_;
    std::optional<Answer> Answer_;
    /// Released claims, of which a delayed copy must not be accepted.
    std::vector<ClaimId> Released_;
    ByteCount Bytes_;
  };

  LedgerReplica(LedgerLimits Limits, WallTime Start)
      : Limits_(Limits), Now_(Start),
        RestartCutoff_(Start + Limits.FutureTolerance_) {}

  void advanceClock(WallTime Now);
  ClaimVerdict decide(const Claim &Request);
  std::optional<AbstainReason> abstainReason(const IdempotencyKey &Key) const;
  bool hasSpaceFor(ByteCount Size) const;
  bool isPastRetention(const IdempotencyKey &Key) const;
  Record *findOrAdd(const IdempotencyKey &Key);
  void storeAnswer(Record &Stored, const Answer &NewAnswer);

  LedgerLimits Limits_;
  /// Latest time passed to any call.
  WallTime Now_;
  /// Keys created up to this time may have been accepted before the restart.
  WallTime RestartCutoff_;
  /// Sorted by creation time, so the records to discard are at the front.
  std::map<IdempotencyKey, Record> Records_;
  ByteCount Bytes_;
  LedgerCounters Counters_;
};

} // namespace jaybridge
