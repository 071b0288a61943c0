#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <string>
#include <string_view>

// Included by codec .cpp files only.

namespace jaybridge::wire {

inline capnp::Data::Reader bytesOf(std::string_view Text) {
  return {reinterpret_cast<const capnp::byte *>(Text.data()), Text.size()};
}

inline std::string textOf(capnp::Data::Reader Bytes) {
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

inline std::string textOf(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

inline std::string serialize(capnp::MessageBuilder &Message) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  const auto Bytes = Words.asBytes();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// Copies a payload into memory that is aligned to words, as Cap'n Proto
/// requires.
inline kj::Array<capnp::word> copyToWords(std::string_view Payload) {
  auto Words = kj::heapArray<capnp::word>(Payload.size() / sizeof(capnp::word));
  if (Words.size() > 0)
    std::memcpy(Words.begin(), Payload.data(),
                Words.size() * sizeof(capnp::word));
  return Words;
}

} // namespace jaybridge::wire
