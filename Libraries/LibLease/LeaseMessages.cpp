#include <LibLease/LeaseMessages.h>

#include <LibCore/Hash.h>

namespace jaybridge {

HeldDigest digestOf(const LeaseClaim &Held) {
  return HeldDigest(stableHash(Held.Service_.text(), Held.Fence_.value()));
}

} // namespace jaybridge
