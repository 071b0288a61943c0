#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// The gateways that follow one control member, and which revision each has.
class SubscriberTable {
public:
  /// A gateway that did not renew for so long has another control member.
  static constexpr Duration Lifetime = 4s;
  static constexpr std::size_t Greatest = 8192;

  struct Subscriber {
    LogIndex Revision_;
    TimePoint RenewedAt_;
    /// When the whole registry may be sent again.
    TimePoint WholeDueAt_;
  };

  /// A slow link needs its time for a whole registry; a second copy behind the
  /// first would only delay both.
  static constexpr Duration WholeInterval = 1500ms;

  /// False when there are too many.
  bool renew(const MemberId &Id, LogIndex Revision, TimePoint Now);
  /// Whether the whole registry may be sent now; if so, it counts as sent.
  bool takeWholeTurn(const MemberId &Id, TimePoint Now);
  /// The update was sent; the subscriber says so if it did not arrive.
  void noteSent(const MemberId &Id, LogIndex Revision);
  void expire(TimePoint Now);

  const std::map<MemberId, Subscriber> &all() const { return Subscribers_; }
  bool isEmpty() const { return Subscribers_.empty(); }

private:
  std::map<MemberId, Subscriber> Subscribers_;
};

} // namespace jaybridge
