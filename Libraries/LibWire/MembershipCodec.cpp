#include <LibWire/MembershipCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Membership.capnp.h>
#include <LibWire/PackedMessage.h>

namespace jaybridge {

namespace {

using wire::stringOf;

Error damaged(const char *What) {
  return Error{
      ErrorCode::Damaged, std::string("membership message with ") + What, {}};
}

void write(wire::WireMembership::Builder Root, const MemberUpdates &Records) {
  auto List = Root.initMembers(static_cast<unsigned>(Records.size()));
  for (unsigned I = 0; I < List.size(); ++I) {
    const MemberRecord &Each = Records[I];
    List[I].setId(Each.Id_.text());
    List[I].setAddress(Each.Address_.address());
    List[I].setPort(Each.Address_.port().value());
    List[I].setDomain(Each.Domain_.text());
    List[I].setIsControlMember(Each.IsControlMember_);
    List[I].setState(static_cast<std::uint8_t>(Each.State_));
    List[I].setVersion(Each.Version_.value());
  }
}

Result<MemberUpdates> readMembers(wire::WireMembership::Reader Root) {
  MemberUpdates Records;
  Records.reserve(Root.getMembers().size());
  for (auto Each : Root.getMembers()) {
    JAYBRIDGE_TRY(auto Address, Endpoint::create(stringOf(Each.getAddress()),
                                                 Port(Each.getPort())));
    if (Each.getState() > static_cast<int>(MemberState::Left))
      return damaged("an unknown state");
    Records.push_back({MemberId(stringOf(Each.getId())), std::move(Address),
                       FailureDomain(stringOf(Each.getDomain())),
                       Each.getIsControlMember(),
                       static_cast<MemberState>(Each.getState()),
                       Incarnation(Each.getVersion())});
  }
  return Records;
}

Result<MemberBucket> bucketOf(std::uint32_t Count, std::uint32_t Index) {
  if (Index >= Count)
    return damaged("a bucket beyond the last");
  return MemberBucket{BucketCount(Count), BucketIndex(Index)};
}

Result<MembershipMessage> read(wire::WireMembership::Reader Root) {
  auto Members = readMembers(Root);
  if (!Members)
    return damaged("an unusable record");
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
    return MembershipMessage(PingAnswer{Probe, std::move(Records)});
  case wire::WireMembership::INDIRECT_PING:
    return MembershipMessage(IndirectPing{
        Probe, MemberId(stringOf(Root.getIndirectPing())), std::move(Records)});
  case wire::WireMembership::INDIRECT_ANSWER:
    return MembershipMessage(
        IndirectAnswer{Probe, Root.getIndirectAnswer(), std::move(Records)});
  case wire::WireMembership::MEMBERS_WANTED:
    if (Records.size() != 1)
      return damaged("no sender");
    return MembershipMessage(
        MembersWanted{std::move(Records.front()),
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
  std::visit(Overloaded{[&](const Ping &Each) {
                          Root.setProbe(Each.Probe_.value());
                          write(Root, Each.Updates_);
                          auto Part = Root.initPing();
                          Part.setBucketCount(Each.Bucket_.Of_.value());
                          Part.setBucketIndex(indexOf(Each.Bucket_));
                          Part.setBucketHash(Each.Hash_.value());
                        },
                        [&](const PingAnswer &Each) {
                          Root.setProbe(Each.Probe_.value());
                          write(Root, Each.Updates_);
                          Root.setPingAnswer();
                        },
                        [&](const IndirectPing &Each) {
                          Root.setProbe(Each.Probe_.value());
                          write(Root, Each.Updates_);
                          Root.setIndirectPing(Each.Target_.text());
                        },
                        [&](const IndirectAnswer &Each) {
                          Root.setProbe(Each.Probe_.value());
                          write(Root, Each.Updates_);
                          Root.setIndirectAnswer(Each.IsReached_);
                        },
                        [&](const MembersWanted &Each) {
                          write(Root, MemberUpdates{Each.Self_});
                          Root.setMembersWanted(Each.After_.text());
                        },
                        [&](const MembersPage &Each) {
                          write(Root, Each.Records_);
                          Root.setMembersPage(Each.IsLast_);
                        },
                        [&](const BucketRecords &Each) {
                          write(Root, Each.Records_);
                          auto Part = Root.initBucketRecords();
                          Part.setOfCount(Each.Bucket_.Of_.value());
                          Part.setOfIndex(indexOf(Each.Bucket_));
                          Part.setIsAnswer(Each.IsAnswer_);
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<MembershipMessage> decodeMembershipMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireMembership, MembershipMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
