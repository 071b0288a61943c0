#pragma once

#include <LibCore/Result.h>
#include <LibWire/WireBytes.h>

#include <kj/exception.h>

#include <xxhash.h>

// Included by codec .cpp files only.

namespace jaybridge::wire {

inline constexpr std::size_t ChecksumSize = sizeof(XXH64_canonical_t);

/// Size limit of a decoded message. The largest one is a write of a log that
/// holds a snapshot of the catalog and the entries after it.
inline constexpr std::size_t MaxMessageSize = std::size_t(64) * 1024 * 1024;

inline Error damagedMessage(const std::string &Reason) {
  return Error{ErrorCode::Damaged, "message is damaged: " + Reason, {}};
}

inline std::string checksumOf(std::string_view Payload) {
  XXH64_canonical_t Canonical;
  XXH64_canonicalFromHash(&Canonical,
                          XXH3_64bits(Payload.data(), Payload.size()));
  return {reinterpret_cast<const char *>(Canonical.digest), ChecksumSize};
}

/// Serializes the message and appends a checksum, because Cap'n Proto does not
/// detect corrupted values.
inline std::string serializeWithChecksum(capnp::MessageBuilder &Message) {
  std::string Payload = serialize(Message);
  Payload += checksumOf(Payload);
  return Payload;
}

/// Verifies the checksum and passes the root of the message to Read, which
/// returns a Result. Malformed content is `Damaged`.
template <typename Root, typename Function>
auto readWithChecksum(std::string_view Encoded, Function Read)
    -> decltype(Read(std::declval<typename Root::Reader>())) {
  if (Encoded.size() < ChecksumSize || Encoded.size() > MaxMessageSize)
    return damagedMessage("length");
  std::string_view Payload = Encoded.substr(0, Encoded.size() - ChecksumSize);
  if (Encoded.substr(Payload.size()) != checksumOf(Payload))
    return damagedMessage("checksum");
  try {
    kj::Array<capnp::word> Words = copyToWords(Payload);
    capnp::ReaderOptions Options;
    // A reader may traverse a list twice: to count its elements and to copy
    // them.
    Options.traversalLimitInWords = 2 * Words.size() + 1024;
    capnp::FlatArrayMessageReader Reader(Words, Options);
    return Read(Reader.getRoot<Root>());
  } catch (const kj::Exception &Failure) {
    return damagedMessage(Failure.getDescription().cStr());
  }
}

} // namespace jaybridge::wire
