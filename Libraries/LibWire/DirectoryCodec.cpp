#include <LibWire/DirectoryCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Directory.capnp.h>
#include <LibWire/PackedMessage.h>

namespace jaybridge {

namespace {

using wire::dataOf;
using wire::stringOf;
using NumberList = capnp::List<std::uint64_t>;
using KeyDigestList = capnp::List<wire::WireMark>;
using InstanceList = capnp::List<wire::WireInstance>;
using Records = std::vector<InstanceRecord>;

Error damaged(const char *Defect) {
  return Error{
      ErrorCode::Damaged, std::string("directory message with ") + Defect, {}};
}

template <typename Value> unsigned sizeOf(const std::vector<Value> &Values) {
  return static_cast<unsigned>(Values.size());
}

template <typename Value>
void write(NumberList::Builder List, const std::vector<Value> &Values) {
  for (unsigned I = 0; I < List.size(); ++I)
    List.set(I, Values[I].value());
}

template <typename Value> std::vector<Value> read(NumberList::Reader List) {
  std::vector<Value> Values;
  Values.reserve(List.size());
  for (auto Number : List)
    Values.emplace_back(Number);
  return Values;
}

void write(KeyDigestList::Builder List, const std::vector<KeyDigest> &Digests) {
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setKey(Digests[I].Key_.value());
    List[I].setDigest(Digests[I].Digest_.value());
  }
}

std::vector<KeyDigest> read(KeyDigestList::Reader List) {
  std::vector<KeyDigest> Digests;
  Digests.reserve(List.size());
  for (auto Digest : List)
    Digests.push_back(
        {RecordKey(Digest.getKey()), RecordDigest(Digest.getDigest())});
  return Digests;
}

void write(InstanceList::Builder List, const Records &Instances) {
  for (unsigned I = 0; I < List.size(); ++I) {
    const InstanceRecord &Instance = Instances[I];
    List[I].setId(Instance.Id_.text());
    List[I].setService(Instance.Service_.text());
    List[I].setAddress(Instance.Address_.address());
    List[I].setPort(Instance.Address_.port().value());
    List[I].setDomain(Instance.Domain_.text());
    List[I].setSlots(Instance.Slots_.value());
    List[I].setState(static_cast<std::uint8_t>(Instance.State_));
    List[I].setVersion(Instance.Version_.value());
  }
}

Result<Records> read(InstanceList::Reader List) {
  Records Instances;
  Instances.reserve(List.size());
  for (auto Instance : List) {
    auto Address = Endpoint::create(stringOf(Instance.getAddress()),
                                    Port(Instance.getPort()));
    if (!Address ||
        Instance.getState() > static_cast<int>(InstanceState::Lapsed))
      return damaged("an invalid record");
    Instances.push_back({InstanceId(stringOf(Instance.getId())),
                         ServiceName(stringOf(Instance.getService())),
                         Address.takeValue(),
                         FailureDomain(stringOf(Instance.getDomain())),
                         SlotCount(Instance.getSlots()),
                         static_cast<InstanceState>(Instance.getState()),
                         Incarnation(Instance.getVersion())});
  }
  return Instances;
}

void write(wire::WireExchange::Builder Builder, const RecordExchange &Value) {
  write(Builder.initRecords(sizeOf(Value.Records_)), Value.Records_);
  write(Builder.initWanted(sizeOf(Value.RequestedKeys_)), Value.RequestedKeys_);
  Builder.setIsNews(Value.IsRumor_);
}

Result<RecordExchange> read(wire::WireExchange::Reader Reader) {
  JAYBRIDGE_TRY(auto Instances, read(Reader.getRecords()));
  return RecordExchange{std::move(Instances),
                        read<RecordKey>(Reader.getWanted()),
                        Reader.getIsNews()};
}

Result<DirectoryMessage> read(wire::WireDirectory::Reader Root) {
  using Kind = wire::WireDirectory;
  switch (Root.which()) {
  case Kind::EXCHANGE: {
    JAYBRIDGE_TRY(auto Exchange, read(Root.getExchange()));
    return DirectoryMessage(std::move(Exchange));
  }
  case Kind::DIGEST: {
    auto Part = Root.getDigest();
    return DirectoryMessage(DirectoryDigest{DigestRound(Part.getRound()),
                                            RecordDigest(Part.getRoot()),
                                            read(Part.getRecent())});
  }
  case Kind::DIGEST_ANSWER: {
    auto Part = Root.getDigestAnswer();
    JAYBRIDGE_TRY(auto Exchange, read(Part.getRepair()));
    return DirectoryMessage(DirectoryDigestResponse{
        DigestRound(Part.getAnsweredRound()),
        RecordDigest(Part.getAnsweredRoot()), std::move(Exchange)});
  }
  case Kind::GROUPS:
    return DirectoryMessage(GroupDigests{read<RecordDigest>(Root.getGroups())});
  case Kind::LEAVES: {
    auto Part = Root.getLeaves();
    return DirectoryMessage(LeafDigests{GroupIndex(Part.getGroup()),
                                        read<RecordDigest>(Part.getDigests())});
  }
  case Kind::MARKS: {
    auto Part = Root.getMarks();
    return DirectoryMessage(RangeDigests{LeafIndex(Part.getFirst()),
                                         LeafIndex(Part.getLast()),
                                         read(Part.getList())});
  }
  case Kind::WANTED: {
    RecordsRequest Request;
    if (Root.getWanted().getHasAfter())
      Request.After_ = RecordKey(Root.getWanted().getAfter());
    return DirectoryMessage(Request);
  }
  case Kind::PAGE: {
    JAYBRIDGE_TRY(auto Instances, read(Root.getPage().getRecords()));
    return DirectoryMessage(
        RecordsPage{std::move(Instances), Root.getPage().getIsLast()});
  }
  case Kind::RENEWALS:
    return DirectoryMessage(LeaseRenewals{read<RecordKey>(Root.getRenewals())});
  case Kind::LAPSE_QUESTION:
    return DirectoryMessage(
        LeaseStatusRequest{RecordKey(Root.getLapseQuestion())});
  case Kind::LAPSE_ANSWER: {
    auto Part = Root.getLapseAnswer();
    return DirectoryMessage(
        LeaseStatusResponse{RecordKey(Part.getKey()), Part.getIsHeld()});
  }
  case Kind::LOAD: {
    auto Part = Root.getLoad();
    return DirectoryMessage(LoadReport{InstanceId(stringOf(Part.getInstance())),
                                       ServiceName(stringOf(Part.getService())),
                                       SlotCount(Part.getBusy())});
  }
  }
  return damaged("an unknown kind");
}

std::string bytesToString(capnp::Data::Reader Bytes) {
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

Result<DistributionMessage> read(wire::WireSpread::Reader Root) {
  using Kind = wire::WireSpread;
  ConfigurationVersion Version(Root.getVersion());
  switch (Root.which()) {
  case Kind::GOSSIP: {
    VersionGossip Gossip{Version, Root.getGossip().getIsAnswerWanted(), {}};
    for (auto Peer : Root.getGossip().getHeard())
      Gossip.KnownVersions_.push_back(
          {MemberId(stringOf(Peer.getMember())),
           ConfigurationVersion(Peer.getVersion())});
    return DistributionMessage(std::move(Gossip));
  }
  case Kind::ENTRIES_WANTED:
    return DistributionMessage(EntriesRequest{Version});
  case Kind::ENTRIES: {
    EntriesChunk Chunk{Version, {}};
    for (auto Entry : Root.getEntries())
      Chunk.Entries_.emplace_back(bytesToString(Entry));
    return DistributionMessage(std::move(Chunk));
  }
  case Kind::SNAPSHOT_WANTED: {
    auto Part = Root.getSnapshotWanted();
    return DistributionMessage(
        SnapshotChunkRequest{Version, SnapshotHash(Part.getWantedHash()),
                             ByteCount(Part.getWantedOffset())});
  }
  case Kind::SNAPSHOT: {
    auto Part = Root.getSnapshot();
    return DistributionMessage(
        SnapshotChunk{Version, SnapshotHash(Part.getHash()),
                      ByteCount(Part.getOffset()), ByteCount(Part.getSize()),
                      ConfigurationBytes(bytesToString(Part.getBytes()))});
  }
  }
  return damaged("an unknown kind");
}

} // namespace

std::string encodeDirectoryMessage(const DirectoryMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireDirectory>();
  std::visit(
      Overloaded{
          [&](const RecordExchange &Exchange) {
            write(Root.initExchange(), Exchange);
          },
          [&](const DirectoryDigest &Digest) {
            auto Part = Root.initDigest();
            Part.setRound(Digest.Round_.value());
            Part.setRoot(Digest.Root_.value());
            write(Part.initRecent(sizeOf(Digest.RecentChanges_)),
                  Digest.RecentChanges_);
          },
          [&](const DirectoryDigestResponse &Response) {
            auto Part = Root.initDigestAnswer();
            Part.setAnsweredRound(Response.Round_.value());
            Part.setAnsweredRoot(Response.Root_.value());
            write(Part.initRepair(), Response.Exchange_);
          },
          [&](const GroupDigests &Digests) {
            write(Root.initGroups(sizeOf(Digests.Groups_)), Digests.Groups_);
          },
          [&](const LeafDigests &Digests) {
            auto Part = Root.initLeaves();
            Part.setGroup(Digests.Group_.value());
            write(Part.initDigests(sizeOf(Digests.Leaves_)), Digests.Leaves_);
          },
          [&](const RangeDigests &Range) {
            auto Part = Root.initMarks();
            Part.setFirst(Range.First_.value());
            Part.setLast(Range.Last_.value());
            write(Part.initList(sizeOf(Range.Digests_)), Range.Digests_);
          },
          [&](const RecordsRequest &Request) {
            auto Part = Root.initWanted();
            Part.setHasAfter(Request.After_.has_value());
            Part.setAfter(Request.After_.value_or(RecordKey()).value());
          },
          [&](const RecordsPage &Page) {
            auto Part = Root.initPage();
            write(Part.initRecords(sizeOf(Page.Records_)), Page.Records_);
            Part.setIsLast(Page.IsLast_);
          },
          [&](const LeaseRenewals &Renewals) {
            write(Root.initRenewals(sizeOf(Renewals.Keys_)), Renewals.Keys_);
          },
          [&](const LeaseStatusRequest &Request) {
            Root.setLapseQuestion(Request.Key_.value());
          },
          [&](const LeaseStatusResponse &Response) {
            auto Part = Root.initLapseAnswer();
            Part.setKey(Response.Key_.value());
            Part.setIsHeld(Response.IsHeld_);
          },
          [&](const LoadReport &Load) {
            auto Part = Root.initLoad();
            Part.setInstance(Load.Instance_.text());
            Part.setService(Load.Service_.text());
            Part.setBusy(Load.Busy_.value());
          }},
      Message);
  return wire::serializePacked(Builder);
}

std::string encodeDistributionMessage(const DistributionMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireSpread>();
  std::visit(
      Overloaded{[&](const VersionGossip &Gossip) {
                   Root.setVersion(Gossip.CurrentVersion_.value());
                   auto Part = Root.initGossip();
                   Part.setIsAnswerWanted(Gossip.IsReplyRequested_);
                   auto List = Part.initHeard(sizeOf(Gossip.KnownVersions_));
                   for (unsigned I = 0; I < List.size(); ++I) {
                     List[I].setMember(Gossip.KnownVersions_[I].Member_.text());
                     List[I].setVersion(
                         Gossip.KnownVersions_[I].Version_.value());
                   }
                 },
                 [&](const EntriesRequest &Request) {
                   Root.setVersion(Request.After_.value());
                   Root.setEntriesWanted();
                 },
                 [&](const EntriesChunk &Chunk) {
                   Root.setVersion(Chunk.After_.value());
                   auto List = Root.initEntries(sizeOf(Chunk.Entries_));
                   for (unsigned I = 0; I < List.size(); ++I)
                     List.set(I, dataOf(Chunk.Entries_[I].text()));
                 },
                 [&](const SnapshotChunkRequest &Request) {
                   Root.setVersion(Request.Version_.value());
                   auto Part = Root.initSnapshotWanted();
                   Part.setWantedHash(Request.Hash_.value());
                   Part.setWantedOffset(Request.Offset_.value());
                 },
                 [&](const SnapshotChunk &Chunk) {
                   Root.setVersion(Chunk.Version_.value());
                   auto Part = Root.initSnapshot();
                   Part.setHash(Chunk.Hash_.value());
                   Part.setOffset(Chunk.Offset_.value());
                   Part.setSize(Chunk.Size_.value());
                   Part.setBytes(dataOf(Chunk.Bytes_.text()));
                 }},
      Message);
  return wire::serializePacked(Builder);
}

Result<DirectoryMessage> decodeDirectoryMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireDirectory, DirectoryMessage>(
      Payload, [](auto Root) { return read(Root); });
}

Result<DistributionMessage>
decodeDistributionMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireSpread, DistributionMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
