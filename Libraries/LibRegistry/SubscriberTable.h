#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// The gateways that subscribe to this control member, and the revision of each
/// gateway.
class SubscriberTable {
public:
  /// A gateway that did not renew its subscription for this time follows
  /// another control member.
  static constexpr Duration SubscriptionTimeout = 4s;
  static constexpr std::size_t MaxSubscribers = 8192;

  struct Subscriber {
    LogIndex Revision_;
    TimePoint RenewedAt_;
    /// Earliest time of the next full update.
    TimePoint NextFullUpdateAt_;
  };

  /// Minimum time between full updates to one gateway. A slow link needs this
  /// time for the whole registry; a second copy queued behind the first would
  /// delay both.
  static constexpr Duration FullUpdateInterval = 1500ms;

  /// Adds or renews a subscription. Returns false when a new subscriber would
  /// exceed MaxSubscribers.
  bool renew(const MemberId &Id, LogIndex Revision, TimePoint Now);
  /// Keeps the subscription of a gateway that was sent a later revision than
  /// this one. Returns false for other gateways.
  bool renewIfAhead(const MemberId &Id, LogIndex Revision, TimePoint Now);
  /// Returns whether a full update may be sent now, and if so, starts the
  /// interval to the next one. The subscriber must exist.
  bool tryStartFullUpdate(const MemberId &Id, TimePoint Now);
  /// Records the revision sent to a subscriber; its next renewal corrects it if
  /// the update was lost.
  void recordSent(const MemberId &Id, LogIndex Revision);
  void expire(TimePoint Now);

  const std::map<MemberId, Subscriber> &all() const { return Subscribers_; }
  bool isEmpty() const { return Subscribers_.empty(); }

private:
  std::map<MemberId, Subscriber> Subscribers_;
};

} // namespace jaybridge
