#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibLedger/LedgerMessages.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

struct LedgerLimits {
  /// Records are kept this long after the creation time in their key.
  std::chrono::milliseconds Retention_ = std::chrono::minutes(10);
  /// Keys expire this much before their record is discarded.
  std::chrono::milliseconds ExpiryMargin_ = std::chrono::seconds(30);
  /// How far a caller's clock may be ahead of the replica's.
  std::chrono::milliseconds FutureTolerance_ = std::chrono::seconds(30);
  EventCount GreatestRecordCount_{100'000};
  ByteCount GreatestBytes_{64ULL << 20};
  /// Greater answers are stored as `ran`, without the body.
  ByteCount GreatestStoredAnswer_{64ULL << 10};
};

struct LedgerCounters {
  EventCount Accepted_;
  EventCount Held_;
  EventCount Abstained_;
  EventCount AbstainedFull_;
  EventCount StoredWithoutBody_;
};

/// The records of claimed keys on one control member, in memory only.
///
/// For every key a replica accepts at most one claim that was not released:
/// its time never goes backwards, a key expires before its record is
/// discarded, and a replica that started with empty memory abstains on every
/// key that it could have accepted earlier. The last rule assumes that the
/// VM's clock does not go back across a restart.
class LedgerReplica {
public:
  /// Fails when the limits contradict each other.
  static Result<LedgerReplica> create(LedgerLimits Limits, WallTime Start);

  ClaimReply claim(const Claim &Asked, WallTime Now);
  /// Idempotent.
  CloseReply release(const Release &Asked, WallTime Now);
  /// Idempotent. No value when the replica is full and knows nothing of the
  /// key.
  std::optional<CloseReply> finish(const Finish &Asked, WallTime Now);
  /// One of the three above.
  std::optional<LedgerReply> handle(const LedgerRequest &Asked, WallTime Now);

  EventCount recordCount() const { return EventCount(Records_.size()); }
  ByteCount bytes() const { return Bytes_; }
  const LedgerCounters &counters() const { return Counters_; }

private:
  struct Record {
    std::optional<ClaimId> Holder_;
    Fingerprint Fingerprint_;
    WallTime OverdueAt_;
    std::optional<Answer> Answer_;
    /// Claims that must not be accepted again when a copy arrives late.
    std::vector<ClaimId> Released_;
    ByteCount Bytes_;
  };

  LedgerReplica(LedgerLimits Limits, WallTime Start)
      : Limits_(Limits), Now_(Start),
        Horizon_(Start + Limits.FutureTolerance_) {}

  void advanceTo(WallTime Now);
  ClaimVerdict decide(const Claim &Asked);
  std::optional<AbstainReason> reasonToAbstain(const IdempotencyKey &Key) const;
  bool hasSpaceFor(ByteCount Size) const;
  bool isForgotten(const IdempotencyKey &Key) const;
  Record *findOrAdd(const IdempotencyKey &Key);
  void setAnswer(Record &Stored, const Answer &Ended);

  LedgerLimits Limits_;
  /// The greatest time seen.
  WallTime Now_;
  /// Keys up to this time may have been accepted in an earlier run.
  WallTime Horizon_;
  /// Keys order by creation time, so expired records are at the front.
  std::map<IdempotencyKey, Record> Records_;
  ByteCount Bytes_;
  LedgerCounters Counters_;
};

} // namespace jaybridge
