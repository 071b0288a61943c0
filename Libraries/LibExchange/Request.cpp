#include <LibExchange/Request.h>

#include <LibCore/Hash.h>

namespace jaybridge {

Fingerprint fingerprintOf(const Request &Received) {
  std::uint64_t Hash = stableHash(Received.Service_.text());
  Hash = stableHash(Received.Method_, Hash);
  Hash = stableHash(Received.Target_, Hash);
  if (Received.Body_)
    Hash = stableHash(*Received.Body_, Hash);
  return Fingerprint(Hash);
}

} // namespace jaybridge
