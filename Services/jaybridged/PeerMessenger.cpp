#include <PeerMessenger.h>

#include <LibRuntime/SystemClock.h>
#include <LibWire/ControlCodec.h>
#include <LibWire/DirectoryCodec.h>
#include <LibWire/EvidenceCodec.h>
#include <LibWire/LeaseCodec.h>
#include <LibWire/LedgerCodec.h>
#include <LibWire/MembershipCodec.h>
#include <LibWire/RegistryCodec.h>
#include <LibWire/ReplicationCodec.h>

namespace jaybridge {

Status PeerMessenger::start(PeerTransportOptions Options) {
  PeerTransport::Callbacks Callbacks;
  Callbacks.Received_ = [this](Envelope Received) { receive(Received); };
  Callbacks.ConnectionLost_ = Sinks_.ConnectionLost_;
  JAYBRIDGE_TRY(Transport_, PeerTransport::create(std::move(Options),
                                                  std::move(Callbacks)));
  return success();
}

void PeerMessenger::stop() {
  if (Transport_)
    Transport_->stop();
}

template <typename Message, typename Encode>
bool PeerMessenger::deliver(
    const MemberId &To, const Message &Outgoing,
    const std::function<void(MemberId, Message)> &LocalSink, MessageKind Kind,
    Encode Encoder) {
  if (To == Self_) {
    if (IsDelivering_)
      LocalSink(Self_, Outgoing);
    return true;
  }
  return Transport_->send(To, Kind, Encoder(Outgoing)) == SendResult::Queued;
}

bool PeerMessenger::send(const MemberId &To,
                         const ReplicationMessage &Message) {
  return deliver(To, Message, Sinks_.Replication_, MessageKind::Replication,
                 encodeReplicationMessage);
}

bool PeerMessenger::send(const MemberId &To,
                         const ConfigurationMessage &Message) {
  return deliver(To, Message, Sinks_.Configuration_, MessageKind::Configuration,
                 encodeConfigurationMessage);
}

bool PeerMessenger::send(const MemberId &To, const MembershipMessage &Message) {
  return deliver(To, Message, Sinks_.Membership_, MessageKind::Membership,
                 encodeMembershipMessage);
}

bool PeerMessenger::send(const Endpoint &To, const MembershipMessage &Message) {
  return Transport_->send(To, MessageKind::Membership,
                          encodeMembershipMessage(Message)) ==
         SendResult::Queued;
}

bool PeerMessenger::send(const MemberId &To, const DirectoryMessage &Message) {
  return deliver(To, Message, Sinks_.Directory_, MessageKind::Directory,
                 encodeDirectoryMessage);
}

bool PeerMessenger::send(const MemberId &To,
                         const DistributionMessage &Message) {
  return deliver(To, Message, Sinks_.Distribution_, MessageKind::Distribution,
                 encodeDistributionMessage);
}

bool PeerMessenger::send(const MemberId &To, const LeaseMessage &Message) {
  return deliver(To, Message, Sinks_.Lease_, MessageKind::Lease,
                 encodeLeaseMessage);
}

bool PeerMessenger::send(const MemberId &To, const EvidenceReport &Message) {
  return deliver(To, Message, Sinks_.Evidence_, MessageKind::Evidence,
                 encodeEvidenceReport);
}

bool PeerMessenger::send(const MemberId &To, const EjectionList &Message) {
  return deliver(To, Message, Sinks_.Ejections_, MessageKind::EjectionList,
                 encodeEjectionList);
}

bool PeerMessenger::send(const MemberId &To, const LedgerRequest &Message) {
  return deliver(To, Message, Sinks_.LedgerRequest_, MessageKind::Ledger,
                 encodeLedgerRequest);
}

bool PeerMessenger::send(const MemberId &To, const LedgerReply &Message) {
  return deliver(To, Message, Sinks_.LedgerReply_, MessageKind::LedgerReply,
                 encodeLedgerReply);
}

bool PeerMessenger::send(const MemberId &To, const ForwardMessage &Message) {
  return deliver(To, Message, Sinks_.Forward_, MessageKind::Forward,
                 [](const ForwardMessage &Outgoing) {
                   return encodeForwardMessage(Outgoing, monotonicNow());
                 });
}

bool PeerMessenger::send(const MemberId &To, const TraceMessage &Message) {
  return deliver(To, Message, Sinks_.Trace_, MessageKind::Trace,
                 encodeTraceMessage);
}

bool PeerMessenger::send(const MemberId &To,
                         const SubscriptionMessage &Message) {
  return deliver(To, Message, Sinks_.Subscription_, MessageKind::Subscription,
                 encodeSubscriptionMessage);
}

EventCount PeerMessenger::sendToAll(const std::vector<MemberId> &To,
                                    const SubscriptionMessage &Message) {
  EventCount Unsent;
  if (To.empty())
    return Unsent;
  const std::string Encoded = encodeSubscriptionMessage(Message);
  for (const MemberId &Member : To)
    if (Transport_->send(Member, MessageKind::Subscription, Encoded) !=
        SendResult::Queued)
      Unsent += EventCount(1);
  return Unsent;
}

template <typename Message>
void PeerMessenger::receive(
    const MemberId &From, Result<Message> Decoded,
    const std::function<void(MemberId, Message)> &Sink) {
  // There is no sink for messages of duties that this daemon does not have.
  if (Decoded && Sink)
    Sink(From, Decoded.takeValue());
  else
    ++DamagedCount_;
}

void PeerMessenger::receive(const Envelope &Received) {
  if (!IsDelivering_)
    return;
  const std::string &Payload = Received.Payload_;
  const MemberId &From = Received.Sender_;
  switch (Received.Kind_) {
  case MessageKind::Replication:
    return receive(From, decodeReplicationMessage(Payload),
                   Sinks_.Replication_);
  case MessageKind::Configuration:
    return receive(From, decodeConfigurationMessage(Payload),
                   Sinks_.Configuration_);
  case MessageKind::Membership:
    return receive(From, decodeMembershipMessage(Payload), Sinks_.Membership_);
  case MessageKind::Directory:
    return receive(From, decodeDirectoryMessage(Payload), Sinks_.Directory_);
  case MessageKind::Distribution:
    return receive(From, decodeDistributionMessage(Payload),
                   Sinks_.Distribution_);
  case MessageKind::Lease:
    return receive(From, decodeLeaseMessage(Payload), Sinks_.Lease_);
  case MessageKind::Evidence:
    return receive(From, decodeEvidenceReport(Payload), Sinks_.Evidence_);
  case MessageKind::EjectionList:
    return receive(From, decodeEjectionList(Payload), Sinks_.Ejections_);
  case MessageKind::Ledger:
    return receive(From, decodeLedgerRequest(Payload), Sinks_.LedgerRequest_);
  case MessageKind::LedgerReply:
    return receive(From, decodeLedgerReply(Payload), Sinks_.LedgerReply_);
  case MessageKind::Forward:
    return receive(From, decodeForwardMessage(Payload, monotonicNow()),
                   Sinks_.Forward_);
  case MessageKind::Trace:
    return receive(From, decodeTraceMessage(Payload), Sinks_.Trace_);
  case MessageKind::Subscription:
    return receive(From, decodeSubscriptionMessage(Payload),
                   Sinks_.Subscription_);
  }
}

} // namespace jaybridge
