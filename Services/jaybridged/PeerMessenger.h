#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/TraceMessages.h>
#include <LibDetection/EvidenceReport.h>
#include <LibDirectory/DirectoryMessages.h>
#include <LibDirectory/DistributionMessages.h>
#include <LibLease/LeaseMessages.h>
#include <LibLedger/LedgerMessages.h>
#include <LibRegistry/SubscriptionMessages.h>
#include <LibTransport/PeerTransport.h>
#include <LibWire/ForwardCodec.h>

#include <atomic>
#include <functional>
#include <optional>

namespace jaybridge {

/// Receivers of decoded messages. They must not block. They are called on the
/// transport's thread, or on the sender's thread for messages of a daemon to
/// itself. The sinks of duties that the daemon does not have are empty.
struct PeerSinks {
  std::function<void(MemberId, ReplicationMessage)> Replication_;
  std::function<void(MemberId, ConfigurationMessage)> Configuration_;
  std::function<void(MemberId, MembershipMessage)> Membership_;
  std::function<void(MemberId, DirectoryMessage)> Directory_;
  std::function<void(MemberId, DistributionMessage)> Distribution_;
  std::function<void(MemberId, LeaseMessage)> Lease_;
  std::function<void(MemberId, EvidenceReport)> Evidence_;
  std::function<void(MemberId, EjectionList)> Ejections_;
  std::function<void(MemberId, LedgerRequest)> LedgerRequest_;
  std::function<void(MemberId, LedgerReply)> LedgerReply_;
  std::function<void(MemberId, ForwardMessage)> Forward_;
  std::function<void(MemberId, TraceMessage)> Trace_;
  std::function<void(MemberId, SubscriptionMessage)> Subscription_;
  /// Called when the connection to a daemon failed while messages were in
  /// flight.
  std::function<void(Endpoint)> ConnectionLost_;
};

/// Encodes and sends the messages of the daemon's roles to peers, and decodes
/// and dispatches received ones. A message to this daemon itself is delivered
/// without encoding.
class PeerMessenger {
public:
  PeerMessenger(MemberId Self, PeerSinks Sinks)
      : Self_(std::move(Self)), Sinks_(std::move(Sinks)) {}

  Status start(PeerTransportOptions Options);
  /// Starts to deliver received messages. Earlier ones are dropped, because
  /// their receivers do not exist yet.
  void beginDelivery() { IsDelivering_ = true; }
  void stop();

  const Endpoint &address() const { return Transport_->address(); }
  PeerTransportCounts counts() const { return Transport_->counts(); }
  /// Received messages that could not be decoded or have no sink.
  EventCount damagedCount() const { return EventCount(DamagedCount_); }
  void setAddress(const MemberId &Member, const Endpoint &Address) {
    Transport_->setAddress(Member, Address);
  }
  void forget(const MemberId &Member) { Transport_->forget(Member); }

  /// Encodes a message once and sends it to other daemons. Returns the number
  /// of members for which it could not be queued.
  EventCount sendToAll(const std::vector<MemberId> &To,
                       const SubscriptionMessage &Message);

  // These return false when the message could not be queued. The roles send
  // important messages again or handle the missing answer.
  bool send(const MemberId &To, const ReplicationMessage &Message);
  bool send(const MemberId &To, const ConfigurationMessage &Message);
  bool send(const MemberId &To, const MembershipMessage &Message);
  bool send(const Endpoint &To, const MembershipMessage &Message);
  bool send(const MemberId &To, const DirectoryMessage &Message);
  bool send(const MemberId &To, const DistributionMessage &Message);
  bool send(const MemberId &To, const LeaseMessage &Message);
  bool send(const MemberId &To, const EvidenceReport &Message);
  bool send(const MemberId &To, const EjectionList &Message);
  bool send(const MemberId &To, const LedgerRequest &Message);
  bool send(const MemberId &To, const LedgerReply &Message);
  bool send(const MemberId &To, const ForwardMessage &Message);
  bool send(const MemberId &To, const TraceMessage &Message);
  bool send(const MemberId &To, const SubscriptionMessage &Message);

private:
  template <typename Message, typename Encode>
  bool deliver(const MemberId &To, const Message &Outgoing,
               const std::function<void(MemberId, Message)> &LocalSink,
               MessageKind Kind, Encode Encoder);
  template <typename Message>
  void receive(const MemberId &From, Result<Message> Decoded,
               const std::function<void(MemberId, Message)> &Sink);
  void receive(const Envelope &Received);

  MemberId Self_;
  PeerSinks Sinks_;
  std::atomic<std::uint64_t> DamagedCount_{0};
  std::atomic<bool> IsDelivering_{false};
  std::optional<PeerTransport> Transport_;
};

} // namespace jaybridge
