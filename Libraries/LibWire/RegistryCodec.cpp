#include <LibWire/RegistryCbor.h>
#include <LibWire/RegistryCodec.h>

#include <LibCore/DecisionRole.h>

namespace jaybridge {

using namespace registry_cbor;

namespace {

// Found together with the functions of this file.
using registry_cbor::write;

json write(const DepartedInstance &Departed) {
  return json::array({Departed.Id_.text(), Departed.LastIncarnation_.value()});
}
DepartedInstance readDeparted(const json &Value) {
  return {InstanceId(Value.at(0).get<std::string>()),
          Incarnation(Value.at(1).get<std::uint64_t>())};
}

template <typename Item> json writeAll(const std::vector<Item> &Items) {
  json List = json::array();
  for (const Item &Element : Items)
    List.push_back(write(Element));
  return List;
}
/// Returns the content of a command, which must not be empty.
template <typename Content> Content required(std::optional<Content> Read) {
  if (!Read)
    throw json::other_error::create(501, "command without content", nullptr);
  return std::move(*Read);
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
