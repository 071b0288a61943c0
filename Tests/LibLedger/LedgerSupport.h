#pragma once

#include <LibLedger/ClaimCoordinator.h>
#include <LibLedger/LedgerReplica.h>

#include <string>

namespace jaybridge {

/// Start of the simulated wall clock.
constexpr WallTime Epoch{std::chrono::hours(500'000)};

/// Simulated wall time at a duration after Epoch.
inline WallTime wallTimeAfter(Duration Elapsed) {
  return Epoch + std::chrono::floor<std::chrono::milliseconds>(Elapsed);
}

/// Key with this creation time and last octet. The version and variant are
/// those of a UUID version 7, and all other octets are 0.
inline IdempotencyKey keyCreatedAt(WallTime CreatedAt,
                                   std::uint8_t LastOctet = 0) {
  IdempotencyKey::Bytes Octets{};
  auto Milliseconds =
      static_cast<std::uint64_t>(CreatedAt.time_since_epoch().count());
  for (std::size_t I = 6; I-- > 0; Milliseconds >>= 8)
    Octets[I] = static_cast<std::uint8_t>(Milliseconds);
  Octets[6] = 0x70;
  Octets[8] = 0x80;
  Octets[15] = LastOctet;
  return IdempotencyKey::create(Octets).takeValue();
}

inline Answer answerWith(const std::string &Text) {
  return Response{
      StatusCode(200), {}, std::make_shared<const std::string>(Text)};
}

/// Id of a claim of the gateway in its first incarnation.
inline ClaimId claimIdOf(const char *Gateway, std::uint64_t Number) {
  return ClaimId{MemberId(Gateway), Incarnation(1), ClaimNumber(Number)};
}

} // namespace jaybridge
