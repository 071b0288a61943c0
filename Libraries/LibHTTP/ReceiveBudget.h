#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <map>
#include <optional>

namespace jaybridge {

/// Connection of a caller, numbered in the order of acceptance.
using ConnectionId = Quantity<struct CallerConnectionIdTag, std::uint64_t>;

struct ReceiveBudgetSettings {
  ByteCount Limit_;
  /// Part of the limit that only small holders can use.
  ByteCount Reserve_;
  /// Most bytes of a small holder.
  ByteCount SmallHolder_;
  /// Time without progress after which a connection can be cut off.
  Duration MinStall_{};
};

/// Bytes that a connection holds.
struct HeldBytes {
  /// Bytes of complete requests, which are never cut off.
  ByteCount Complete_;
  /// Bytes that cutting off the connection frees.
  ByteCount Incomplete_;
};

/// Limits the bytes that all connections hold together, and decides which one
/// to cut off when they hold too many. The same rules apply to the bytes of
/// responses that wait to be written; all of them count as incomplete.
class ReceiveBudget {
public:
  explicit ReceiveBudget(ReceiveBudgetSettings Settings);

  /// Budget for received bytes, with a reserve for small requests.
  static ReceiveBudget forReceiving(ByteCount Limit);
  /// Budget for bytes waiting to be written, derived from the limit of received
  /// bytes.
  static ReceiveBudget forSending(ByteCount ReceiveLimit);

  /// Sets what a connection holds. A growth of the incomplete bytes is
  /// progress.
  void hold(ConnectionId Id, HeldBytes Held, TimePoint Now);
  /// Records progress of a connection whose bytes do not grow.
  void recordProgress(ConnectionId Id, TimePoint Now);
  void release(ConnectionId Id);

  /// Whether a body of this length fits besides all complete requests.
  bool admits(ByteCount AnnouncedLength) const;
  /// The connection to cut off first, which may be the growing one: the one
  /// with the largest product of incomplete bytes and time without progress.
  /// None while the limit that applies to the growing connection is kept, or
  /// when no connection has stalled for long enough.
  std::optional<ConnectionId> nextCutOff(ConnectionId Growing,
                                         TimePoint Now) const;
  /// Whether the limit that applies to the connection is exceeded.
  bool isExceededBy(ConnectionId Growing) const;
  /// Whether more than three quarters of the limit are held; false again below
  /// half, so that the state does not alternate.
  bool isShort() const { return IsShort_; }
  ByteCount total() const { return Total_; }
  ByteCount limit() const { return Settings_.Limit_; }

private:
  struct Holder {
    HeldBytes Held_;
    TimePoint LastProgress_;
  };
  static ByteCount totalOf(HeldBytes Held) {
    return Held.Complete_ + Held.Incomplete_;
  }
  bool isSmall(const Holder &Candidate) const {
    return totalOf(Candidate.Held_) <= Settings_.SmallHolder_;
  }
  void updateTotals(HeldBytes Before, HeldBytes After);

  ReceiveBudgetSettings Settings_;
  std::map<ConnectionId, Holder> Holders_;
  ByteCount Total_;
  ByteCount Complete_;
  bool IsShort_ = false;
};

} // namespace jaybridge
