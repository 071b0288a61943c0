#pragma once

#include <PeerMessenger.h>

#include <LibSettings/Settings.h>

#include <set>

namespace jaybridge {

/// Messages between gateways and control members. A member's id is the address
/// at which its peers reach it, so that no table of addresses is needed. All
/// sends come from one thread.
class RegistryPeers {
public:
  RegistryPeers(const Settings &Given, PeerSinks Sinks)
      : Self_(memberIdOf(Given.PeerAddress_)), Peers_(Self_, std::move(Sinks)) {
  }

  Status start(const Settings &Given);
  void beginDelivery() { Peers_.beginDelivery(); }
  void stop() { Peers_.stop(); }

  const MemberId &self() const { return Self_; }
  const Endpoint &address() const { return Peers_.address(); }
  PeerTransportCounts counts() const { return Peers_.counts(); }
  EventCount damagedCount() const { return Peers_.damagedCount(); }

  /// False when the message could not be queued.
  template <typename Message>
  bool send(const MemberId &To, const Message &Sent) {
    return isKnown(To) && Peers_.send(To, Sent);
  }

  /// Encodes the message once. Returns to how many it could not be queued.
  EventCount sendToAll(const std::vector<MemberId> &To,
                       const SubscriptionMessage &Sent);

  static MemberId memberIdOf(const Endpoint &Address) {
    return MemberId(Address.text());
  }
  /// The seeds' addresses at the peers' port.
  static std::vector<MemberId> seedsOf(const Settings &Given);

private:
  bool isKnown(const MemberId &Member);

  MemberId Self_;
  PeerMessenger Peers_;
  std::set<MemberId> Known_;
};

} // namespace jaybridge
