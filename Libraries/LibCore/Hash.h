#pragma once

#include <cstdint>
#include <string_view>

namespace jaybridge {

/// FNV-1a, followed by the SplitMix64 finalizer. Unlike `std::hash`, the result
/// is the same on every VM and in every run. Offers no protection against
/// chosen collisions, so it must not index tables by untrusted keys.
constexpr std::uint64_t stableHash(std::string_view Text,
                                   std::uint64_t Basis = 0) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL ^ Basis;
  for (char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001b3ULL;
  }
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

} // namespace jaybridge
