#include <LibWire/LeaseCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Lease.capnp.h>
#include <LibWire/PackedMessage.h>

namespace jaybridge {

namespace {

using wire::stringOf;
using ClaimList = capnp::List<wire::WireLeaseClaim>;

void write(ClaimList::Builder List, const std::vector<LeaseClaim> &Claims) {
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setService(Claims[I].Service_.text());
    List[I].setFence(Claims[I].Fence_.value());
  }
}

std::vector<LeaseClaim> read(ClaimList::Reader List) {
  std::vector<LeaseClaim> Claims;
  Claims.reserve(List.size());
  for (auto Each : List)
    Claims.push_back({ServiceName(stringOf(Each.getService())),
                      FenceNumber(Each.getFence())});
  return Claims;
}

unsigned sizeOf(const std::vector<LeaseClaim> &Claims) {
  return static_cast<unsigned>(Claims.size());
}

Result<LeaseMessage> read(wire::WireLease::Reader Root) {
  LeaseRound Round(Root.getRound());
  switch (Root.which()) {
  case wire::WireLease::RENEWAL:
    return LeaseMessage(LeaseRenewal{Round, HeldDigest(Root.getRenewal())});
  case wire::WireLease::REQUEST: {
    auto Part = Root.getRequest();
    return LeaseMessage(
        LeaseRequest{Round, read(Part.getHeld()), read(Part.getClaims())});
  }
  case wire::WireLease::RELEASE:
    return LeaseMessage(LeaseRelease{read(Root.getRelease())});
  case wire::WireLease::ANSWER: {
    auto Part = Root.getAnswer();
    LeaseAnswer Answer{
        Round, FenceNumber(Part.getHighest()), Part.getIsRenewed(), {}};
    for (auto Each : Part.getGranted())
      Answer.Granted_.emplace_back(stringOf(Each));
    return LeaseMessage(std::move(Answer));
  }
  }
  return Error{ErrorCode::Damaged, "lease message with an unknown kind", {}};
}

} // namespace

std::string encodeLeaseMessage(const LeaseMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLease>();
  std::visit(Overloaded{[&](const LeaseRenewal &Each) {
                          Root.setRound(Each.Round_.value());
                          Root.setRenewal(Each.Held_.value());
                        },
                        [&](const LeaseRequest &Each) {
                          Root.setRound(Each.Round_.value());
                          auto Part = Root.initRequest();
                          write(Part.initHeld(sizeOf(Each.Held_)), Each.Held_);
                          write(Part.initClaims(sizeOf(Each.Claims_)),
                                Each.Claims_);
                        },
                        [&](const LeaseRelease &Each) {
                          write(Root.initRelease(sizeOf(Each.Released_)),
                                Each.Released_);
                        },
                        [&](const LeaseAnswer &Each) {
                          Root.setRound(Each.Round_.value());
                          auto Part = Root.initAnswer();
                          Part.setHighest(Each.Highest_.value());
                          Part.setIsRenewed(Each.IsRenewed_);
                          auto List = Part.initGranted(
                              static_cast<unsigned>(Each.Granted_.size()));
                          for (unsigned I = 0; I < List.size(); ++I)
                            List.set(I, Each.Granted_[I].text());
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<LeaseMessage> decodeLeaseMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireLease, LeaseMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
