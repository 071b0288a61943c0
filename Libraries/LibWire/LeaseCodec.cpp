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
  for (auto Claim : List)
    Claims.push_back({ServiceName(stringOf(Claim.getService())),
                      FenceNumber(Claim.getFence())});
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
    for (auto Service : Part.getGranted())
      Answer.Granted_.emplace_back(stringOf(Service));
    return LeaseMessage(std::move(Answer));
  }
  }
  return Error{ErrorCode::Damaged, "lease message of an unknown kind", {}};
}

} // namespace

std::string encodeLeaseMessage(const LeaseMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLease>();
  std::visit(Overloaded{[&](const LeaseRenewal &Renewal) {
                          Root.setRound(Renewal.Round_.value());
                          Root.setRenewal(Renewal.Held_.value());
                        },
                        [&](const LeaseRequest &Request) {
                          Root.setRound(Request.Round_.value());
                          auto Part = Root.initRequest();
                          write(Part.initHeld(sizeOf(Request.Held_)),
                                Request.Held_);
                          write(Part.initClaims(sizeOf(Request.Claims_)),
                                Request.Claims_);
                        },
                        [&](const LeaseRelease &Release) {
                          write(Root.initRelease(sizeOf(Release.Released_)),
                                Release.Released_);
                        },
                        [&](const LeaseAnswer &Answer) {
                          Root.setRound(Answer.Round_.value());
                          auto Part = Root.initAnswer();
                          Part.setHighest(Answer.HighestFence_.value());
                          Part.setIsRenewed(Answer.IsRenewed_);
                          auto List = Part.initGranted(
                              static_cast<unsigned>(Answer.Granted_.size()));
                          for (unsigned I = 0; I < List.size(); ++I)
                            List.set(I, Answer.Granted_[I].text());
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<LeaseMessage> decodeLeaseMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireLease, LeaseMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
