#include <RegistryPeers.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Presented where the settings ask for no token.
constexpr const char *OpenListenerToken = "open-peer-listener";

Result<AccessToken> peerToken(const Settings &Given) {
  return Given.HasOpenListeners_ ? AccessToken::create(OpenListenerToken)
                                 : AccessToken::readFile(Given.PeerTokenFile_);
}

} // namespace

Status RegistryPeers::start(const Settings &Given) {
  JAYBRIDGE_TRY(AccessToken Token, peerToken(Given));
  PeerTransportOptions Options{.Token_ = std::move(Token)};
  Options.Member_ = Self_;
  Options.Address_ = Given.PeerAddress_;
  Options.MaxBackoff_ = 250ms;
  return Peers_.start(std::move(Options));
}

std::vector<MemberId> RegistryPeers::seedsOf(const Settings &Given) {
  std::vector<MemberId> Seeds;
  for (const Endpoint &Each : Given.Seeds_) {
    auto Address = Endpoint::create(Each.address(),
                                    Given.SeedPeerPort_.value_or(Each.port()));
    JAYBRIDGE_VERIFY(Address.hasValue());
    Seeds.push_back(memberIdOf(Address.value()));
  }
  std::sort(Seeds.begin(), Seeds.end());
  return Seeds;
}

bool RegistryPeers::isKnown(const MemberId &Member) {
  if (Known_.contains(Member))
    return true;
  auto Address = Endpoint::create(Member.text());
  if (!Address)
    return false;
  Peers_.setAddress(Member, Address.value());
  Known_.insert(Member);
  return true;
}

EventCount RegistryPeers::sendToAll(const std::vector<MemberId> &To,
                                    const SubscriptionMessage &Sent) {
  std::vector<MemberId> Known;
  for (const MemberId &Each : To)
    if (isKnown(Each))
      Known.push_back(Each);
  return EventCount(To.size() - Known.size()) + Peers_.sendToAll(Known, Sent);
}

} // namespace jaybridge
