#pragma once

#include <LibCore/Result.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <string>
#include <string_view>

// Included by codec .cpp files only. Packing omits the zero bytes of Cap'n
// Proto's padding, which make up most of a small message.

namespace jaybridge::wire {

inline std::string serializePacked(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Stream;
  capnp::writePackedMessage(Stream, Message);
  auto Bytes = Stream.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

inline capnp::Data::Reader dataOf(std::string_view Text) {
  return {reinterpret_cast<const capnp::byte *>(Text.data()), Text.size()};
}

inline std::string stringOf(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

/// Reads a packed message and passes its root to Read. Malformed content is
/// `Damaged`.
template <typename Root, typename Value, typename Function>
Result<Value> readPacked(std::string_view Payload, Function Read) {
  try {
    kj::ArrayInputStream Stream(dataOf(Payload));
    capnp::PackedMessageReader Reader(Stream);
    return Read(Reader.getRoot<Root>());
  } catch (const kj::Exception &Failure) {
    return Error{ErrorCode::Damaged, Failure.getDescription().cStr(), {}};
  }
}

} // namespace jaybridge::wire
