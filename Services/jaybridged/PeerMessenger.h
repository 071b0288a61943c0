#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/TraceMessages.h>
#include <LibDetection/EvidenceReport.h>
#include <LibDirectory/DirectoryMessages.h>
#include <LibDirectory/SpreadMessages.h>
#include <LibLease/LeaseMessages.h>
#include <LibLedger/LedgerMessages.h>
#include <LibRegistry/SubscriptionMessages.h>
#include <LibTransport/PeerTransport.h>
#include <LibWire/ForwardCodec.h>

#include <atomic>
#include <functional>
#include <optional>

namespace jaybridge {

/// Receivers of decoded messages; called on the transport's thread, or on the
/// sender's for messages of a daemon to itself. No call waits.
struct PeerSinks {
  std::function<void(MemberId, ReplicationMessage)> Replication_;
  std::function<void(MemberId, ConfigurationMessage)> Configuration_;
  std::function<void(MemberId, MembershipMessage)> Membership_;
  std::function<void(MemberId, DirectoryMessage)> Directory_;
  std::function<void(MemberId, SpreadMessage)> Spread_;
  std::function<void(MemberId, LeaseMessage)> Lease_;
  std::function<void(MemberId, EvidenceReport)> Evidence_;
  std::function<void(MemberId, EjectionAnswer)> Ejections_;
  std::function<void(MemberId, LedgerRequest)> LedgerRequest_;
  std::function<void(MemberId, LedgerReply)> LedgerReply_;
  std::function<void(MemberId, ForwardMessage)> Forward_;
  std::function<void(MemberId, TraceMessage)> Trace_;
  std::function<void(MemberId, SubscriptionMessage)> Subscription_;
  /// The connection to a daemon failed with messages under way.
  std::function<void(Endpoint)> Lost_;
};

/// Sends and receives the typed messages of the daemon's roles. A message to
/// this daemon itself is delivered without encoding.
class PeerMessenger {
public:
  PeerMessenger(MemberId Self, PeerSinks Sinks)
      : Self_(std::move(Self)), Sinks_(std::move(Sinks)) {}

  Status start(PeerTransportOptions Options);
  /// Until then, received messages are dropped: their receivers do not exist.
  void beginDelivery() { IsDelivering_ = true; }
  void stop();

  const Endpoint &address() const { return Transport_->address(); }
  PeerTransportCounts counts() const { return Transport_->counts(); }
  EventCount damagedCount() const { return EventCount(Damaged_); }
  void setAddress(const MemberId &Member, const Endpoint &Address) {
    Transport_->setAddress(Member, Address);
  }
  void forget(const MemberId &Member) { Transport_->forget(Member); }

  /// To other daemons. Returns to how many it could not be queued.
  EventCount sendToAll(const std::vector<MemberId> &To,
                       const SubscriptionMessage &Message);

  // False when the message could not be queued; every role repeats or answers
  // what matters.
  bool send(const MemberId &To, const ReplicationMessage &Message);
  bool send(const MemberId &To, const ConfigurationMessage &Message);
  bool send(const MemberId &To, const MembershipMessage &Message);
  bool send(const Endpoint &To, const MembershipMessage &Message);
  bool send(const MemberId &To, const DirectoryMessage &Message);
  bool send(const MemberId &To, const SpreadMessage &Message);
  bool send(const MemberId &To, const LeaseMessage &Message);
  bool send(const MemberId &To, const EvidenceReport &Message);
  bool send(const MemberId &To, const EjectionAnswer &Message);
  bool send(const MemberId &To, const LedgerRequest &Message);
  bool send(const MemberId &To, const LedgerReply &Message);
  bool send(const MemberId &To, const ForwardMessage &Message);
  bool send(const MemberId &To, const TraceMessage &Message);
  bool send(const MemberId &To, const SubscriptionMessage &Message);

private:
  template <typename Message, typename Encode>
  bool deliver(const MemberId &To, const Message &Sent,
               const std::function<void(MemberId, Message)> &Local,
               MessageKind Kind, Encode Encoder);
  template <typename Message>
  void receive(const MemberId &From, Result<Message> Decoded,
               const std::function<void(MemberId, Message)> &Sink);
  void receive(const Envelope &Received);

  MemberId Self_;
  PeerSinks Sinks_;
  std::atomic<std::uint64_t> Damaged_{0};
  std::atomic<bool> IsDelivering_{false};
  std::optional<PeerTransport> Transport_;
};

} // namespace jaybridge
