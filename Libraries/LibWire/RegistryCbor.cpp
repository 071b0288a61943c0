#include <LibWire/RegistryCbor.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/TextCompression.h>

namespace jaybridge::registry_cbor {

namespace {

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

} // namespace

std::string toCbor(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

Status checkNesting(std::string_view Bytes) {
  NestingLimit Limit;
  if (!json::sax_parse(Bytes, &Limit, json::input_format_t::cbor))
    return Error{
        ErrorCode::Damaged, "message is damaged or nested too deeply", {}};
  return success();
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

} // namespace jaybridge::registry_cbor
