#include <LibWire/RegistryCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/TextCompression.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using nlohmann::json;

/// First element of each encoded message or command: its kind. The numbers are
/// part of the protocol and of stored logs.
enum class Tag : unsigned {
  SubscribeRequest = 1,
  AttemptReport,
  RegistryUpdate,
  RegistryHeartbeat,
  FollowerReport,
  LeaderUpdate,
  StoredDocument,
  StoreInstance,
  RemoveInstance,
  DocumentDelta,
  RetriesGranted,
  RegistryStale,
};

std::string toCbor(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

/// No message or command has more levels of lists.
constexpr std::size_t MaxNestingDepth = 16;

/// Stops the parser at a value that is nested too deeply, since the parser
/// builds values recursively.
class NestingLimit : public json::json_sax_t {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const std::string &) override {
    return true;
  }
  bool string(std::string &) override { return true; }
  bool binary(json::binary_t &) override { return true; }
  bool key(std::string &) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool enter() { return ++Depth_ <= MaxNestingDepth; }
  bool leave() {
    --Depth_;
    return true;
  }
  std::size_t Depth_ = 0;
};

/// Decodes CBOR and passes the value to Read. Malformed content is `Damaged`.
template <typename Value, typename Function>
Result<Value> readCbor(std::string_view Bytes, Function Read) {
  NestingLimit Limit;
  if (!json::sax_parse(Bytes, &Limit, json::input_format_t::cbor))
    return Error{
        ErrorCode::Damaged, "message is damaged or nested too deeply", {}};
  try {
    return Result<Value>(Read(json::from_cbor(Bytes)));
  } catch (const json::exception &Failure) {
    return Error{ErrorCode::Damaged,
                 std::string("message is damaged: ") + Failure.what(),
                 {}};
  }
}

json taggedArray(Tag Kind) {
  return json::array({static_cast<unsigned>(Kind)});
}

Tag tagOf(const json &Value) {
  return static_cast<Tag>(Value.at(0).get<unsigned>());
}

json write(const InstanceRecord &Record) {
  return json::array({Record.Id_.text(), Record.Service_.text(),
                      Record.Address_.address(), Record.Address_.port().value(),
                      Record.Domain_.text(), Record.Slots_.value(),
                      static_cast<unsigned>(Record.State_),
                      Record.Version_.value()});
}

InstanceRecord readInstance(const json &Value) {
  InstanceRecord Record;
  Record.Id_ = InstanceId(Value.at(0).get<std::string>());
  Record.Service_ = ServiceName(Value.at(1).get<std::string>());
  auto Address = Endpoint::create(Value.at(2).get<std::string>(),
                                  Port(Value.at(3).get<std::uint16_t>()));
  if (!Address)
    throw json::other_error::create(501, Address.error().Message_, nullptr);
  Record.Address_ = Address.takeValue();
  Record.Domain_ = FailureDomain(Value.at(4).get<std::string>());
  Record.Slots_ = SlotCount(Value.at(5).get<std::uint32_t>());
  const auto State = Value.at(6).get<unsigned>();
  if (State > static_cast<unsigned>(InstanceState::Lapsed))
    throw json::other_error::create(501, "unknown state of an instance",
                                    nullptr);
  Record.State_ = static_cast<InstanceState>(State);
  Record.Version_ = Incarnation(Value.at(7).get<std::uint64_t>());
  return Record;
}

json write(const InstanceId &Id) { return Id.text(); }
InstanceId readInstanceId(const json &Value) {
  return InstanceId(Value.get<std::string>());
}

json write(const AttemptCounts &Counts) {
  json List = json::array(
      {Counts.Id_.text(), Counts.Lost_.value(), Counts.Errors_.value(),
       Counts.Unreachable_.value(), Counts.Successes_.value(),
       std::chrono::ceil<std::chrono::milliseconds>(Counts.ServiceTime_)
           .count()});
  if (Counts.Overdue_ + Counts.AnsweredLate_ + Counts.NeverAnswered_ >
      EventCount(0))
    for (EventCount Count :
         {Counts.Overdue_, Counts.AnsweredLate_, Counts.NeverAnswered_})
      List.push_back(Count.value());
  return List;
}
AttemptCounts readAttemptCounts(const json &Value) {
  // Earlier versions of the protocol send fewer counts.
  auto Count = [&](std::size_t Index) {
    return EventCount(
        Index < Value.size() ? Value.at(Index).get<std::uint64_t>() : 0);
  };
  AttemptCounts Counts{InstanceId(Value.at(0).get<std::string>()),
                       EventCount(Value.at(1).get<std::uint64_t>()),
                       Count(2),
                       Count(3),
                       Count(4),
                       Count(6),
                       Count(7),
                       Count(8)};
  constexpr std::uint64_t MaxServiceMilliseconds = 86'400'000;
  Counts.ServiceTime_ = std::chrono::milliseconds(
      std::min(Count(5).value(), MaxServiceMilliseconds));
  return Counts;
}

json write(const RetryCount &Count) {
  return json::array({Count.Service_.text(), Count.Retries_.value()});
}
RetryCount readRetryCount(const json &Value) {
  return {ServiceName(Value.at(0).get<std::string>()),
          EventCount(Value.at(1).get<std::uint64_t>())};
}

json write(const ControlMember &Member) {
  return json::array({Member.Id_.text(), Member.Domain_.text()});
}
ControlMember readMember(const json &Value) {
  return {MemberId(Value.at(0).get<std::string>()),
          FailureDomain(Value.at(1).get<std::string>())};
}

json write(const DepartedInstance &Departed) {
  return json::array({Departed.Id_.text(), Departed.LastIncarnation_.value()});
}
DepartedInstance readDeparted(const json &Value) {
  return {InstanceId(Value.at(0).get<std::string>()),
          Incarnation(Value.at(1).get<std::uint64_t>())};
}

json write(Fingerprint Request) { return Request.value(); }
Fingerprint readFingerprint(const json &Value) {
  return Fingerprint(Value.get<std::uint64_t>());
}

json write(const LostRequest &Lost) {
  return json::array({Lost.Instance_.text(), Lost.Fingerprint_.value()});
}
LostRequest readLostRequest(const json &Value) {
  return {InstanceId(Value.at(0).get<std::string>()),
          readFingerprint(Value.at(1))};
}

template <typename Item> json writeAll(const std::vector<Item> &Items) {
  json List = json::array();
  for (const Item &Element : Items)
    List.push_back(write(Element));
  return List;
}
template <typename Item>
std::vector<Item> readAll(const json &List, Item (*Read)(const json &)) {
  std::vector<Item> Items;
  for (const json &Element : List)
    Items.push_back(Read(Element));
  return Items;
}

json write(const EjectionChange &Change) {
  json List = json::array({Change.Result_.value()});
  if (Change.Base_ == Change.Result_)
    return List;
  List.push_back(Change.Base_.value());
  List.push_back(writeAll(Change.Added_));
  List.push_back(writeAll(Change.Removed_));
  return List;
}
EjectionChange readEjections(const json &Value) {
  const EjectionDigest Result(Value.at(0).get<std::uint64_t>());
  if (Value.size() == 1)
    return {Result, Result, {}, {}};
  return {EjectionDigest(Value.at(1).get<std::uint64_t>()), Result,
          readAll(Value.at(2), readInstanceId),
          readAll(Value.at(3), readInstanceId)};
}

/// Adds both lists to a message unless they are empty, as they usually are.
template <typename Lists, typename First, typename Second>
void appendUnlessEmpty(json &Message, const Lists &Value, First Lists::*One,
                       Second Lists::*Other) {
  if (Value.isEmpty())
    return;
  Message.push_back(writeAll(Value.*One));
  Message.push_back(writeAll(Value.*Other));
}
void append(json &Message, const RequestEvidence &Evidence) {
  appendUnlessEmpty(Message, Evidence, &RequestEvidence::Lost_,
                    &RequestEvidence::Answered_);
}
void append(json &Message, const RequestVerdicts &Verdicts) {
  appendUnlessEmpty(Message, Verdicts, &RequestVerdicts::Suspected_,
                    &RequestVerdicts::Quarantined_);
}
/// Reads the lists that start at an index of the message; earlier versions of
/// the protocol do not send them.
RequestEvidence readEvidence(const json &Message, std::size_t Index) {
  if (Message.size() <= Index)
    return {};
  return {readAll(Message.at(Index), readLostRequest),
          readAll(Message.at(Index + 1), readFingerprint)};
}
RequestVerdicts readVerdicts(const json &Message, std::size_t Index) {
  if (Message.size() <= Index)
    return {};
  return {readAll(Message.at(Index), readFingerprint),
          readAll(Message.at(Index + 1), readFingerprint)};
}

/// Shorter text gains little from compression.
constexpr std::size_t MinCompressedLength = 512;

json writeText(const std::string &Text) {
  if (Text.size() < MinCompressedLength)
    return Text;
  return json::binary(compressText(Text));
}
std::string readText(const json &Value) {
  if (!Value.is_binary())
    return Value.get<std::string>();
  auto Text = decompressText(Value.get_binary());
  if (!Text)
    throw json::other_error::create(501, Text.error().Message_, nullptr);
  return Text.takeValue();
}

json write(const std::optional<StoredDocument> &Document) {
  if (!Document)
    return nullptr;
  return json::array({Document->Version_.value(), writeText(Document->Text_)});
}
std::optional<StoredDocument> readDocument(const json &Value) {
  if (Value.is_null())
    return std::nullopt;
  return StoredDocument{ConfigurationVersion(Value.at(0).get<std::uint64_t>()),
                        readText(Value.at(1))};
}

json write(const std::optional<DocumentDelta> &Delta) {
  if (!Delta)
    return nullptr;
  json Parts = json::array();
  for (const auto &Part : Delta->Parts_)
    std::visit(
        Overloaded{
            [&](const CopyRange &Range) {
              Parts.push_back(json::array({Range.Offset_, Range.Length_}));
            },
            [&](const std::string &Text) { Parts.push_back(writeText(Text)); },
        },
        Part);
  return json::array({Delta->Base_.value(), Delta->Version_.value(),
                      std::move(Parts), Delta->Result_.value()});
}
std::optional<DocumentDelta> readDelta(const json &Value) {
  if (Value.is_null())
    return std::nullopt;
  DocumentDelta Delta;
  Delta.Base_ = ConfigurationVersion(Value.at(0).get<std::uint64_t>());
  Delta.Version_ = ConfigurationVersion(Value.at(1).get<std::uint64_t>());
  for (const json &Part : Value.at(2)) {
    if (Part.is_array())
      Delta.Parts_.emplace_back(CopyRange{Part.at(0).get<std::uint64_t>(),
                                          Part.at(1).get<std::uint64_t>()});
    else
      Delta.Parts_.emplace_back(readText(Part));
  }
  // Earlier versions of the protocol do not send it.
  if (Value.size() > 3)
    Delta.Result_ = DocumentDigest(Value.at(3).get<std::uint64_t>());
  return Delta;
}

/// Returns the content of a command, which must not be empty.
template <typename Content> Content required(std::optional<Content> Read) {
  if (!Read)
    throw json::other_error::create(501, "command without content", nullptr);
  return std::move(*Read);
}

template <typename Number>
json writeOptional(const std::optional<Number> &Value) {
  return Value ? json(Value->value()) : json(nullptr);
}
template <typename Number>
std::optional<Number> readOptional(const json &Value) {
  if (Value.is_null())
    return std::nullopt;
  return Number(Value.get<std::uint64_t>());
}

SubscriptionMessage readMessage(const json &Value) {
  switch (tagOf(Value)) {
  case Tag::SubscribeRequest:
    return SubscribeRequest{
        LogIndex(Value.at(1).get<std::uint64_t>()),
        ConfigurationVersion(Value.at(2).get<std::uint64_t>()),
        MemberListDigest(Value.at(3).get<std::uint64_t>()),
        // Earlier versions of the protocol do not send it.
        EjectionDigest(Value.size() > 4 ? Value.at(4).get<std::uint64_t>()
                                        : 0)};
  case Tag::AttemptReport:
    return AttemptReport{readAll(Value.at(1), readAttemptCounts),
                         readAll(Value.at(2), readRetryCount),
                         readEvidence(Value, 3)};
  case Tag::RegistryStale:
    return RegistryStale{};
  case Tag::RetriesGranted:
    return RetriesGranted{readAll(Value.at(1), readRetryCount)};
  case Tag::RegistryUpdate:
    return RegistryUpdate{readOptional<LogIndex>(Value.at(1)),
                          LogIndex(Value.at(2).get<std::uint64_t>()),
                          readDocument(Value.at(3)),
                          readDelta(Value.at(4)),
                          readAll(Value.at(5), readInstance),
                          readAll(Value.at(6), readMember)};
  case Tag::RegistryHeartbeat:
    return RegistryHeartbeat{
        LogIndex(Value.at(1).get<std::uint64_t>()), readEjections(Value.at(2)),
        readAll(Value.at(3), readMember), readVerdicts(Value, 4)};
  case Tag::FollowerReport:
    return FollowerReport{FailureDomain(Value.at(1).get<std::string>()),
                          readAll(Value.at(2), readAttemptCounts),
                          readEvidence(Value, 4), Value.at(3).get<bool>()};
  case Tag::LeaderUpdate:
    return LeaderUpdate{readEjections(Value.at(1)),
                        MemberListDigest(Value.at(3).get<std::uint64_t>()),
                        readAll(Value.at(2), readMember),
                        readVerdicts(Value, 4)};
  default:
    throw json::other_error::create(501, "unknown kind of message", nullptr);
  }
}

RegistryCommand readCommand(const json &Value) {
  switch (tagOf(Value)) {
  case Tag::StoredDocument:
    return required(readDocument(Value.at(1)));
  case Tag::DocumentDelta:
    return required(readDelta(Value.at(1)));
  case Tag::StoreInstance:
    return StoreInstance{readInstance(Value.at(1))};
  case Tag::RemoveInstance:
    return RemoveInstance{InstanceId(Value.at(1).get<std::string>()),
                          readOptional<Incarnation>(Value.at(2))};
  default:
    throw json::other_error::create(501, "unknown kind of command", nullptr);
  }
}

} // namespace

std::string encodeSubscriptionMessage(const SubscriptionMessage &Message) {
  json Value = std::visit(
      Overloaded{
          [](const SubscribeRequest &Request) {
            json List = taggedArray(Tag::SubscribeRequest);
            List.push_back(Request.Revision_.value());
            List.push_back(Request.Version_.value());
            List.push_back(Request.Members_.value());
            List.push_back(Request.Ejections_.value());
            return List;
          },
          [](const AttemptReport &Report) {
            json List = taggedArray(Tag::AttemptReport);
            List.push_back(writeAll(Report.Instances_));
            List.push_back(writeAll(Report.SpentRetries_));
            append(List, Report.Requests_);
            return List;
          },
          [](const RegistryStale &) { return taggedArray(Tag::RegistryStale); },
          [](const RetriesGranted &Grant) {
            json List = taggedArray(Tag::RetriesGranted);
            List.push_back(writeAll(Grant.Retries_));
            return List;
          },
          [](const RegistryUpdate &Update) {
            json List = taggedArray(Tag::RegistryUpdate);
            List.push_back(writeOptional(Update.BaseRevision_));
            List.push_back(Update.Revision_.value());
            List.push_back(write(Update.Document_));
            List.push_back(write(Update.Delta_));
            List.push_back(writeAll(Update.Instances_));
            List.push_back(writeAll(Update.Members_));
            return List;
          },
          [](const RegistryHeartbeat &Heartbeat) {
            json List = taggedArray(Tag::RegistryHeartbeat);
            List.push_back(Heartbeat.Revision_.value());
            List.push_back(write(Heartbeat.Ejections_));
            List.push_back(writeAll(Heartbeat.Members_));
            append(List, Heartbeat.Requests_);
            return List;
          },
          [](const FollowerReport &Report) {
            json List = taggedArray(Tag::FollowerReport);
            List.push_back(Report.Domain_.text());
            List.push_back(writeAll(Report.Instances_));
            List.push_back(Report.NeedsWholeLists_);
            append(List, Report.Requests_);
            return List;
          },
          [](const LeaderUpdate &Update) {
            json List = taggedArray(Tag::LeaderUpdate);
            List.push_back(write(Update.Ejections_));
            List.push_back(writeAll(Update.Members_));
            List.push_back(Update.MembersDigest_.value());
            append(List, Update.Requests_);
            return List;
          },
      },
      Message);
  return toCbor(Value);
}

Result<SubscriptionMessage> decodeSubscriptionMessage(std::string_view Bytes) {
  return readCbor<SubscriptionMessage>(Bytes, readMessage);
}

std::string RegistryWireCodec::encodeCommand(const RegistryCommand &Command) {
  json Value = std::visit(
      Overloaded{
          [](const StoredDocument &Document) {
            json List = taggedArray(Tag::StoredDocument);
            List.push_back(write(std::optional<StoredDocument>(Document)));
            return List;
          },
          [](const DocumentDelta &Delta) {
            json List = taggedArray(Tag::DocumentDelta);
            List.push_back(write(std::optional<DocumentDelta>(Delta)));
            return List;
          },
          [](const StoreInstance &Store) {
            json List = taggedArray(Tag::StoreInstance);
            List.push_back(write(Store.Record_));
            return List;
          },
          [](const RemoveInstance &Remove) {
            json List = taggedArray(Tag::RemoveInstance);
            List.push_back(Remove.Id_.text());
            List.push_back(writeOptional(Remove.LastIncarnation_));
            return List;
          },
      },
      Command);
  return toCbor(Value);
}

Result<RegistryCommand>
RegistryWireCodec::decodeCommand(const std::string &Bytes) {
  return readCbor<RegistryCommand>(Bytes, readCommand);
}

std::string RegistryWireCodec::encodeState(const RegistryState &State) {
  return toCbor(json::array({write(State.Document_), writeAll(State.Instances_),
                             writeAll(State.Departed_)}));
}

Result<RegistryState> RegistryWireCodec::decodeState(const std::string &Bytes) {
  return readCbor<RegistryState>(Bytes, [](const json &Value) {
    return RegistryState{readDocument(Value.at(0)),
                         readAll(Value.at(1), readInstance),
                         readAll(Value.at(2), readDeparted)};
  });
}

} // namespace jaybridge
