#include <LibWire/MembershipCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Membership.capnp.h>
#include <LibWire/PackedMessage.h>

namespace jaybridge {

namespace {

using wire::stringOf;

Error damaged(const char *Defect) {
  return Error{
      ErrorCode::Damaged, std::string("membership message with ") + Defect, {}};
}

void write(wire::WireMembership::Builder Root, const MemberUpdates &Records) {
  auto List = Root.initMembers(static_cast<unsigned>(Records.size()));
  for (unsigned I = 0; I < List.size(); ++I) {
    const MemberRecord &Member = Records[I];
    List[I].setId(Member.Id_.text());
    List[I].setAddress(Member.Address_.address());
    List[I].setPort(Member.Address_.port().value());
    List[I].setDomain(Member.Domain_.text());
    List[I].setIsControlMember(Member.IsControlMember_);
    List[I].setState(static_cast<std::uint8_t>(Member.State_));
    List[I].setVersion(Member.Incarnation_.value());
  }
}

Result<MemberUpdates> readMembers(wire::WireMembership::Reader Root) {
  MemberUpdates Records;
  Records.reserve(Root.getMembers().size());
  for (auto Member : Root.getMembers()) {
    JAYBRIDGE_TRY(auto Address, Endpoint::create(stringOf(Member.getAddress()),
                                                 Port(Member.getPort())));
    if (Member.getState() > static_cast<int>(MemberState::Left))
      return damaged("an unknown state");
    Records.push_back({MemberId(stringOf(Member.getId())), std::move(Address),
                       FailureDomain(stringOf(Member.getDomain())),
                       Member.getIsControlMember(),
                       static_cast<MemberState>(Member.getState()),
                       Incarnation(Member.getVersion())});
  }
  return Records;
}

Result<MemberBucket> bucketOf(std::uint32_t Count, std::uint32_t Index) {
  if (Index >= Count)
    return damaged("a bucket index out of range");
  return MemberBucket{BucketCount(Count), BucketIndex(Index)};
}

Result<MembershipMessage> read(wire::WireMembership::Reader Root) {
  auto Members = readMembers(Root);
  if (!Members)
    return damaged("an invalid record");
  MemberUpdates Records = Members.takeValue();
  ProbeNumber Probe(Root.getProbe());
  switch (Root.which()) {
  case wire::WireMembership::PING: {
    auto Part = Root.getPing();
    JAYBRIDGE_TRY(auto Bucket,
                  bucketOf(Part.getBucketCount(), Part.getBucketIndex()));
    return MembershipMessage(Ping{
        Probe, Bucket, BucketHash(Part.getBucketHash()), std::move(Records)});
  }
  case wire::WireMembership::PING_ANSWER:
    return MembershipMessage(PingAck{Probe, std::move(Records)});
  case wire::WireMembership::INDIRECT_PING:
    return MembershipMessage(IndirectPing{
        Probe, MemberId(stringOf(Root.getIndirectPing())), std::move(Records)});
  case wire::WireMembership::INDIRECT_ANSWER:
    return MembershipMessage(IndirectPingResult{Probe, Root.getIndirectAnswer(),
                                                std::move(Records)});
  case wire::WireMembership::MEMBERS_WANTED:
    if (Records.size() != 1)
      return damaged("no record of its sender");
    return MembershipMessage(
        MembersRequest{std::move(Records.front()),
                       MemberId(stringOf(Root.getMembersWanted()))});
  case wire::WireMembership::MEMBERS_PAGE:
    return MembershipMessage(
        MembersPage{std::move(Records), Root.getMembersPage()});
  case wire::WireMembership::BUCKET_RECORDS: {
    auto Part = Root.getBucketRecords();
    JAYBRIDGE_TRY(auto Bucket, bucketOf(Part.getOfCount(), Part.getOfIndex()));
    return MembershipMessage(
        BucketRecords{Bucket, Part.getIsAnswer(), std::move(Records)});
  }
  }
  return damaged("an unknown kind");
}

std::uint32_t indexOf(MemberBucket Bucket) {
  return static_cast<std::uint32_t>(Bucket.Index_.value());
}

} // namespace

std::string encodeMembershipMessage(const MembershipMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireMembership>();
  std::visit(Overloaded{[&](const Ping &Request) {
                          Root.setProbe(Request.Probe_.value());
                          write(Root, Request.Updates_);
                          auto Part = Root.initPing();
                          Part.setBucketCount(
                              Request.Bucket_.BucketCount_.value());
                          Part.setBucketIndex(indexOf(Request.Bucket_));
                          Part.setBucketHash(Request.Hash_.value());
                        },
                        [&](const PingAck &Ack) {
                          Root.setProbe(Ack.Probe_.value());
                          write(Root, Ack.Updates_);
                          Root.setPingAnswer();
                        },
                        [&](const IndirectPing &Request) {
                          Root.setProbe(Request.Probe_.value());
                          write(Root, Request.Updates_);
                          Root.setIndirectPing(Request.Target_.text());
                        },
                        [&](const IndirectPingResult &PingResult) {
                          Root.setProbe(PingResult.Probe_.value());
                          write(Root, PingResult.Updates_);
                          Root.setIndirectAnswer(PingResult.IsReached_);
                        },
                        [&](const MembersRequest &Request) {
                          write(Root, MemberUpdates{Request.Self_});
                          Root.setMembersWanted(Request.After_.text());
                        },
                        [&](const MembersPage &Page) {
                          write(Root, Page.Records_);
                          Root.setMembersPage(Page.IsLast_);
                        },
                        [&](const BucketRecords &Records) {
                          write(Root, Records.Records_);
                          auto Part = Root.initBucketRecords();
                          Part.setOfCount(Records.Bucket_.BucketCount_.value());
                          Part.setOfIndex(indexOf(Records.Bucket_));
                          Part.setIsAnswer(Records.IsAnswer_);
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<MembershipMessage> decodeMembershipMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireMembership, MembershipMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
