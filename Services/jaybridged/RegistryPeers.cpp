#include <RegistryPeers.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Token of the peer handshake when the settings require none.
constexpr const char *OpenListenerToken = "open-peer-listener";

Result<AccessToken> peerToken(const Settings &DaemonSettings) {
  return DaemonSettings.HasOpenListeners_
             ? AccessToken::create(OpenListenerToken)
             : AccessToken::readFile(DaemonSettings.PeerTokenFile_);
}

} // namespace

std::string fingerprintList(const std::vector<Fingerprint> &Fingerprints) {
  std::string List;
  for (Fingerprint Listed : Fingerprints)
    List += (List.empty() ? "" : ",") + std::to_string(Listed.value());
  return List;
}

Status RegistryPeers::start(const Settings &DaemonSettings) {
  JAYBRIDGE_TRY(AccessToken Token, peerToken(DaemonSettings));
  PeerTransportOptions Options{.Token_ = std::move(Token)};
  Options.Member_ = Self_;
  Options.Address_ = DaemonSettings.PeerAddress_;
  Options.MaxBackoff_ = 250ms;
  return Peers_.start(std::move(Options));
}

std::vector<MemberId> RegistryPeers::seedIds(const Settings &DaemonSettings) {
  std::vector<MemberId> Seeds;
  for (const Endpoint &Seed : DaemonSettings.Seeds_) {
    auto Address = Endpoint::create(
        Seed.address(), DaemonSettings.SeedPeerPort_.value_or(Seed.port()));
    JAYBRIDGE_VERIFY(Address.hasValue());
    Seeds.push_back(memberIdOf(Address.value()));
  }
  std::sort(Seeds.begin(), Seeds.end());
  return Seeds;
}

bool RegistryPeers::ensureAddress(const MemberId &Member) {
  if (MembersWithAddress_.contains(Member))
    return true;
  auto Address = Endpoint::create(Member.text());
  if (!Address)
    return false;
  Peers_.setAddress(Member, Address.value());
  MembersWithAddress_.insert(Member);
  return true;
}

EventCount RegistryPeers::sendToAll(const std::vector<MemberId> &To,
                                    const SubscriptionMessage &Outgoing) {
  std::vector<MemberId> Reachable;
  for (const MemberId &Member : To)
    if (ensureAddress(Member))
      Reachable.push_back(Member);
  return EventCount(To.size() - Reachable.size()) +
         Peers_.sendToAll(Reachable, Outgoing);
}

} // namespace jaybridge
