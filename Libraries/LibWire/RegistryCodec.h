#pragma once

#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the messages between gateways and control members as CBOR
/// (RFC 8949). Decoding fails with `Damaged`.
std::string encodeSubscriptionMessage(const SubscriptionMessage &Message);
Result<SubscriptionMessage> decodeSubscriptionMessage(std::string_view Bytes);

/// Encodings of the commands and snapshots of the registry's replicated log as
/// CBOR. Decoding fails with `Damaged`.
struct RegistryWireCodec {
  static std::string encodeCommand(const RegistryCommand &Command);
  static Result<RegistryCommand> decodeCommand(const std::string &Bytes);
  static std::string encodeState(const RegistryState &State);
  static Result<RegistryState> decodeState(const std::string &Bytes);
};

} // namespace jaybridge
