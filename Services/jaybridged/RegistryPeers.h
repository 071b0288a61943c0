#pragma once

#include <PeerMessenger.h>

#include <LibSettings/Settings.h>

#include <set>

namespace jaybridge {

/// Sends and receives messages between gateways and control members. A member's
/// id is the address at which its peers reach it, so that no table of addresses
/// is needed. The send functions must all be called from one thread.
class RegistryPeers {
public:
  RegistryPeers(const Settings &DaemonSettings, PeerSinks Sinks)
      : Self_(memberIdOf(DaemonSettings.PeerAddress_)),
        Peers_(Self_, std::move(Sinks)) {}

  Status start(const Settings &DaemonSettings);
  void beginDelivery() { Peers_.beginDelivery(); }
  void stop() { Peers_.stop(); }

  const MemberId &self() const { return Self_; }
  const Endpoint &address() const { return Peers_.address(); }
  PeerTransportCounts counts() const { return Peers_.counts(); }
  EventCount damagedCount() const { return Peers_.damagedCount(); }

  /// False when the message could not be queued.
  template <typename Message>
  bool send(const MemberId &To, const Message &Outgoing) {
    return ensureAddress(To) && Peers_.send(To, Outgoing);
  }

  /// Encodes the message once. Returns the number of members for which it could
  /// not be queued.
  EventCount sendToAll(const std::vector<MemberId> &To,
                       const SubscriptionMessage &Outgoing);

  static MemberId memberIdOf(const Endpoint &Address) {
    return MemberId(Address.text());
  }
  /// Ids of the seeds: their addresses, with the seeds' peer port where it is
  /// set.
  static std::vector<MemberId> seedIds(const Settings &DaemonSettings);

private:
  /// Registers the address in the member's id with the transport. False when
  /// the id is not an address.
  bool ensureAddress(const MemberId &Member);

  MemberId Self_;
  PeerMessenger Peers_;
  std::set<MemberId> MembersWithAddress_;
};

/// Fingerprints separated by commas, for log lines.
std::string fingerprintList(const std::vector<Fingerprint> &Fingerprints);

} // namespace jaybridge
