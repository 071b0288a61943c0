#include <LibWire/DirectoryCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Directory.capnp.h>
#include <LibWire/PackedMessage.h>

namespace jaybridge {

namespace {

using wire::dataOf;
using wire::stringOf;
using NumberList = capnp::List<std::uint64_t>;
using MarkList = capnp::List<wire::WireMark>;
using InstanceList = capnp::List<wire::WireInstance>;
using Records = std::vector<InstanceRecord>;

Error damaged(const char *What) {
  return Error{
      ErrorCode::Damaged, std::string("directory message with ") + What, {}};
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
  for (auto Each : List)
    Values.emplace_back(Each);
  return Values;
}

void write(MarkList::Builder List, const std::vector<RecordMark> &Marks) {
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setKey(Marks[I].Key_.value());
    List[I].setDigest(Marks[I].Digest_.value());
  }
}

std::vector<RecordMark> read(MarkList::Reader List) {
  std::vector<RecordMark> Marks;
  Marks.reserve(List.size());
  for (auto Each : List)
    Marks.push_back({RecordKey(Each.getKey()), RecordDigest(Each.getDigest())});
  return Marks;
}

void write(InstanceList::Builder List, const Records &Instances) {
  for (unsigned I = 0; I < List.size(); ++I) {
    const InstanceRecord &Each = Instances[I];
    List[I].setId(Each.Id_.text());
    List[I].setService(Each.Service_.text());
    List[I].setAddress(Each.Address_.address());
    List[I].setPort(Each.Address_.port().value());
    List[I].setDomain(Each.Domain_.text());
    List[I].setSlots(Each.Slots_.value());
    List[I].setState(static_cast<std::uint8_t>(Each.State_));
    List[I].setVersion(Each.Version_.value());
  }
}

Result<Records> read(InstanceList::Reader List) {
  Records Instances;
  Instances.reserve(List.size());
  for (auto Each : List) {
    auto Address =
        Endpoint::create(stringOf(Each.getAddress()), Port(Each.getPort()));
    if (!Address || Each.getState() > static_cast<int>(InstanceState::Lapsed))
      return damaged("an unusable record");
    Instances.push_back(
        {InstanceId(stringOf(Each.getId())),
         ServiceName(stringOf(Each.getService())), Address.takeValue(),
         FailureDomain(stringOf(Each.getDomain())), SlotCount(Each.getSlots()),
         static_cast<InstanceState>(Each.getState()),
         Incarnation(Each.getVersion())});
  }
  return Instances;
}

void write(wire::WireExchange::Builder Written, const RecordExchange &Given) {
  write(Written.initRecords(sizeOf(Given.Records_)), Given.Records_);
  write(Written.initWanted(sizeOf(Given.Wanted_)), Given.Wanted_);
  Written.setIsNews(Given.IsNews_);
}

Result<RecordExchange> read(wire::WireExchange::Reader Written) {
  JAYBRIDGE_TRY(auto Instances, read(Written.getRecords()));
  return RecordExchange{std::move(Instances),
                        read<RecordKey>(Written.getWanted()),
                        Written.getIsNews()};
}

Result<DirectoryMessage> read(wire::WireDirectory::Reader Root) {
  using Wire = wire::WireDirectory;
  switch (Root.which()) {
  case Wire::EXCHANGE: {
    JAYBRIDGE_TRY(auto Exchange, read(Root.getExchange()));
    return DirectoryMessage(std::move(Exchange));
  }
  case Wire::DIGEST: {
    auto Part = Root.getDigest();
    return DirectoryMessage(DirectoryDigest{DigestRound(Part.getRound()),
                                            RecordDigest(Part.getRoot()),
                                            read(Part.getRecent())});
  }
  case Wire::DIGEST_ANSWER: {
    auto Part = Root.getDigestAnswer();
    JAYBRIDGE_TRY(auto Exchange, read(Part.getRepair()));
    return DirectoryMessage(DirectoryDigestAnswer{
        DigestRound(Part.getAnsweredRound()),
        RecordDigest(Part.getAnsweredRoot()), std::move(Exchange)});
  }
  case Wire::GROUPS:
    return DirectoryMessage(GroupDigests{read<RecordDigest>(Root.getGroups())});
  case Wire::LEAVES: {
    auto Part = Root.getLeaves();
    return DirectoryMessage(LeafDigests{GroupIndex(Part.getGroup()),
                                        read<RecordDigest>(Part.getDigests())});
  }
  case Wire::MARKS: {
    auto Part = Root.getMarks();
    return DirectoryMessage(RangeMarks{LeafIndex(Part.getFirst()),
                                       LeafIndex(Part.getLast()),
                                       read(Part.getList())});
  }
  case Wire::WANTED: {
    RecordsWanted Wanted;
    if (Root.getWanted().getHasAfter())
      Wanted.After_ = RecordKey(Root.getWanted().getAfter());
    return DirectoryMessage(Wanted);
  }
  case Wire::PAGE: {
    JAYBRIDGE_TRY(auto Instances, read(Root.getPage().getRecords()));
    return DirectoryMessage(
        RecordsPage{std::move(Instances), Root.getPage().getIsLast()});
  }
  case Wire::RENEWALS:
    return DirectoryMessage(LeaseRenewals{read<RecordKey>(Root.getRenewals())});
  case Wire::LAPSE_QUESTION:
    return DirectoryMessage(LapseQuestion{RecordKey(Root.getLapseQuestion())});
  case Wire::LAPSE_ANSWER: {
    auto Part = Root.getLapseAnswer();
    return DirectoryMessage(
        LapseAnswer{RecordKey(Part.getKey()), Part.getIsHeld()});
  }
  case Wire::LOAD: {
    auto Part = Root.getLoad();
    return DirectoryMessage(LoadHint{InstanceId(stringOf(Part.getInstance())),
                                     ServiceName(stringOf(Part.getService())),
                                     SlotCount(Part.getBusy())});
  }
  }
  return damaged("an unknown kind");
}

std::string bytesToString(capnp::Data::Reader Bytes) {
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

Result<SpreadMessage> read(wire::WireSpread::Reader Root) {
  using Wire = wire::WireSpread;
  ConfigurationVersion Version(Root.getVersion());
  switch (Root.which()) {
  case Wire::GOSSIP: {
    VersionGossip Gossip{Version, Root.getGossip().getIsAnswerWanted(), {}};
    for (auto Each : Root.getGossip().getHeard())
      Gossip.Heard_.push_back({MemberId(stringOf(Each.getMember())),
                               ConfigurationVersion(Each.getVersion())});
    return SpreadMessage(std::move(Gossip));
  }
  case Wire::ENTRIES_WANTED:
    return SpreadMessage(EntriesWanted{Version});
  case Wire::ENTRIES: {
    EntriesPart Part{Version, {}};
    for (auto Each : Root.getEntries())
      Part.Entries_.emplace_back(bytesToString(Each));
    return SpreadMessage(std::move(Part));
  }
  case Wire::SNAPSHOT_WANTED: {
    auto Part = Root.getSnapshotWanted();
    return SpreadMessage(SnapshotWanted{Version,
                                        SnapshotHash(Part.getWantedHash()),
                                        ByteCount(Part.getWantedOffset())});
  }
  case Wire::SNAPSHOT: {
    auto Part = Root.getSnapshot();
    return SpreadMessage(
        SnapshotPart{Version, SnapshotHash(Part.getHash()),
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
          [&](const RecordExchange &Each) { write(Root.initExchange(), Each); },
          [&](const DirectoryDigest &Each) {
            auto Part = Root.initDigest();
            Part.setRound(Each.Round_.value());
            Part.setRoot(Each.Root_.value());
            write(Part.initRecent(sizeOf(Each.Recent_)), Each.Recent_);
          },
          [&](const DirectoryDigestAnswer &Each) {
            auto Part = Root.initDigestAnswer();
            Part.setAnsweredRound(Each.Round_.value());
            Part.setAnsweredRoot(Each.Root_.value());
            write(Part.initRepair(), Each.Exchange_);
          },
          [&](const GroupDigests &Each) {
            write(Root.initGroups(sizeOf(Each.Groups_)), Each.Groups_);
          },
          [&](const LeafDigests &Each) {
            auto Part = Root.initLeaves();
            Part.setGroup(Each.Group_.value());
            write(Part.initDigests(sizeOf(Each.Leaves_)), Each.Leaves_);
          },
          [&](const RangeMarks &Each) {
            auto Part = Root.initMarks();
            Part.setFirst(Each.First_.value());
            Part.setLast(Each.Last_.value());
            write(Part.initList(sizeOf(Each.Marks_)), Each.Marks_);
          },
          [&](const RecordsWanted &Each) {
            auto Part = Root.initWanted();
            Part.setHasAfter(Each.After_.has_value());
            Part.setAfter(Each.After_.value_or(RecordKey()).value());
          },
          [&](const RecordsPage &Each) {
            auto Part = Root.initPage();
            write(Part.initRecords(sizeOf(Each.Records_)), Each.Records_);
            Part.setIsLast(Each.IsLast_);
          },
          [&](const LeaseRenewals &Each) {
            write(Root.initRenewals(sizeOf(Each.Keys_)), Each.Keys_);
          },
          [&](const LapseQuestion &Each) {
            Root.setLapseQuestion(Each.Key_.value());
          },
          [&](const LapseAnswer &Each) {
            auto Part = Root.initLapseAnswer();
            Part.setKey(Each.Key_.value());
            Part.setIsHeld(Each.IsHeld_);
          },
          [&](const LoadHint &Each) {
            auto Part = Root.initLoad();
            Part.setInstance(Each.Instance_.text());
            Part.setService(Each.Service_.text());
            Part.setBusy(Each.Busy_.value());
          }},
      Message);
  return wire::serializePacked(Builder);
}

std::string encodeSpreadMessage(const SpreadMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireSpread>();
  std::visit(Overloaded{[&](const VersionGossip &Each) {
                          Root.setVersion(Each.InForce_.value());
                          auto Part = Root.initGossip();
                          Part.setIsAnswerWanted(Each.IsAnswerWanted_);
                          auto List = Part.initHeard(sizeOf(Each.Heard_));
                          for (unsigned I = 0; I < List.size(); ++I) {
                            List[I].setMember(Each.Heard_[I].Member_.text());
                            List[I].setVersion(Each.Heard_[I].Version_.value());
                          }
                        },
                        [&](const EntriesWanted &Each) {
                          Root.setVersion(Each.After_.value());
                          Root.setEntriesWanted();
                        },
                        [&](const EntriesPart &Each) {
                          Root.setVersion(Each.After_.value());
                          auto List = Root.initEntries(sizeOf(Each.Entries_));
                          for (unsigned I = 0; I < List.size(); ++I)
                            List.set(I, dataOf(Each.Entries_[I].text()));
                        },
                        [&](const SnapshotWanted &Each) {
                          Root.setVersion(Each.Version_.value());
                          auto Part = Root.initSnapshotWanted();
                          Part.setWantedHash(Each.Hash_.value());
                          Part.setWantedOffset(Each.Offset_.value());
                        },
                        [&](const SnapshotPart &Each) {
                          Root.setVersion(Each.Version_.value());
                          auto Part = Root.initSnapshot();
                          Part.setHash(Each.Hash_.value());
                          Part.setOffset(Each.Offset_.value());
                          Part.setSize(Each.Size_.value());
                          Part.setBytes(dataOf(Each.Bytes_.text()));
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<DirectoryMessage> decodeDirectoryMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireDirectory, DirectoryMessage>(
      Payload, [](auto Root) { return read(Root); });
}

Result<SpreadMessage> decodeSpreadMessage(std::string_view Payload) {
  return wire::readPacked<wire::WireSpread, SpreadMessage>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
