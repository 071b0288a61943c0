#pragma once

#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <LibCore/Result.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Parts of the CBOR messages of the registry that its commands, snapshots and
/// subscription messages share. Read functions throw json::exception on
/// malformed content, which readCbor() turns into a Result.
namespace jaybridge::registry_cbor {

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
  TokenRequest,
  TokenGrant,
};

std::string toCbor(const json &Value);
/// Errors: `Damaged` if the bytes are not CBOR or are nested too deeply.
Status checkNesting(std::string_view Bytes);

/// Decodes CBOR and passes the value to Read. Malformed content is `Damaged`.
template <typename Value, typename Function>
Result<Value> readCbor(std::string_view Bytes, Function Read) {
  if (Status Nesting = checkNesting(Bytes); !Nesting)
    return Nesting.takeError();
  try {
    return Result<Value>(Read(json::from_cbor(Bytes)));
  } catch (const json::exception &Failure) {
    return Error{ErrorCode::Damaged,
                 std::string("message is damaged: ") + Failure.what(),
                 {}};
  }
}

json taggedArray(Tag Kind);
Tag tagOf(const json &Value);

json write(const InstanceRecord &Record);
InstanceRecord readInstance(const json &Value);
json write(const std::optional<StoredDocument> &Document);
std::optional<StoredDocument> readDocument(const json &Value);
json write(const std::optional<DocumentDelta> &Delta);
std::optional<DocumentDelta> readDelta(const json &Value);

template <typename Item>
std::vector<Item> readAll(const json &List, Item (*Read)(const json &)) {
  std::vector<Item> Items;
  for (const json &Element : List)
    Items.push_back(Read(Element));
  return Items;
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

} // namespace jaybridge::registry_cbor
