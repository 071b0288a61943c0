#pragma once

#include <LibLedger/ClaimCoordinator.h>
#include <LibLedger/LedgerReplica.h>

#include <string>

namespace jaybridge {

/// Start of the logical wall clock in the tests.
constexpr WallTime Epoch{std::chrono::hours(500'000)};

inline WallTime wallAt(Duration Elapsed) {
  return Epoch + std::chrono::floor<std::chrono::milliseconds>(Elapsed);
}

inline IdempotencyKey keyCreatedAt(WallTime CreatedAt, std::uint8_t Last = 0) {
  IdempotencyKey::Bytes Octets{};
  auto Left = static_cast<std::uint64_t>(CreatedAt.time_since_epoch().count());
  for (std::size_t I = 6; I-- > 0; Left >>= 8)
    Octets[I] = static_cast<std::uint8_t>(Left);
  Octets[6] = 0x70;
  Octets[8] = 0x80;
  Octets[15] = Last;
  return IdempotencyKey::create(Octets).takeValue();
}

inline Answer answerWith(const std::string &Text) {
  return Response{
      StatusCode(200), {}, std::make_shared<const std::string>(Text)};
}

inline ClaimId claimOf(const char *Gateway, std::uint64_t Number) {
  return ClaimId{MemberId(Gateway), Incarnation(1), ClaimNumber(Number)};
}

} // namespace jaybridge
