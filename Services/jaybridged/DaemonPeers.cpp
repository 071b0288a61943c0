#include <Daemon.h>

namespace jaybridge {

PeerSinks Daemon::peerSinks() {
  PeerSinks Sinks;
  Sinks.Replication_ = [this](MemberId, ReplicationMessage Message) {
    post(Configuration_, std::move(Message));
  };
  Sinks.Configuration_ = [this](MemberId From, ConfigurationMessage Message) {
    post(Configuration_,
         FromMember<ConfigurationMessage>{std::move(From), std::move(Message)});
  };
  Sinks.Membership_ = [this](MemberId From, MembershipMessage Message) {
    post(*Fleet_,
         FromMember<MembershipMessage>{std::move(From), std::move(Message)});
  };
  Sinks.Directory_ = [this](MemberId From, DirectoryMessage Message) {
    post(*Fleet_,
         FromMember<DirectoryMessage>{std::move(From), std::move(Message)});
  };
  Sinks.Distribution_ = [this](MemberId From, DistributionMessage Message) {
    post(*Fleet_,
         FromMember<DistributionMessage>{std::move(From), std::move(Message)});
  };
  Sinks.Lease_ = [this](MemberId From, LeaseMessage Message) {
    post(*Authority_,
         FromMember<LeaseMessage>{std::move(From), std::move(Message)});
  };
  Sinks.Evidence_ = [this](MemberId From, EvidenceReport Message) {
    post(*Authority_,
         FromMember<EvidenceReport>{std::move(From), std::move(Message)});
  };
  Sinks.Ejections_ = [this](MemberId From, EjectionList Message) {
    post(*Authority_,
         FromMember<EjectionList>{std::move(From), std::move(Message)});
  };
  Sinks.LedgerRequest_ = [this](MemberId From, LedgerRequest Message) {
    post(Ledger_,
         LedgerRequestReceived{std::move(From), std::move(Message), wallNow()});
  };
  Sinks.LedgerReply_ = [this](MemberId From, LedgerReply Message) {
    post(Ledger_, LedgerReplyReceived{std::move(From), std::move(Message)});
  };
  Sinks.Forward_ = [this](MemberId From, ForwardMessage Message) {
    receiveForward(From, std::move(Message));
  };
  Sinks.Trace_ = [this](MemberId From, TraceMessage Message) {
    post(History_,
         FromMember<TraceMessage>{std::move(From), std::move(Message)});
  };
  Sinks.ConnectionLost_ = [this](Endpoint Address) {
    failForwards(Forwards_.takeAllAt(Address));
  };
  return Sinks;
}

} // namespace jaybridge
