#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibProfile/Team.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// Number of a holder's request; its tokens are identified by it.
using TokenRound = Ordinal<struct TokenRoundTag>;

/// A gateway may spend a token for this time after it sent the request.
inline constexpr Duration GatewayTokenLifetime = 210ms;
/// A member may pass a token on for this time after it sent the request.
inline constexpr Duration MemberTokenLifetime = 100ms;
/// No token is spent later than this after the leader issued it, since both
/// lifetimes start before the issue. It may exceed the limit by the tokens of
/// this time: 0.31 of the rate, of the permitted tenth of 5 s (0.5).
inline constexpr Duration TokenLifetime =
    GatewayTokenLifetime + MemberTokenLifetime;

/// A holder that used tokens lately sends a request at least this often, so
/// that its grantor notices when the contact is lost.
inline constexpr Duration TokenKeepAliveInterval = 150ms;
/// A holder whose request is unanswered for this time has no contact.
inline constexpr Duration TokenContactTimeout = 250ms;
/// A grantor that does not hear a holder for this time reserves the rate that
/// the holder may spend without contact. A holder starts that at most 150 ms
/// earlier, which may exceed the limit by 0.15 of the rate.
inline constexpr Duration TokenHolderTimeout = 400ms;
/// A grantor keeps the reservation of a silent holder for this time. A holder
/// that lives has found another grantor by then; a longer reservation would
/// count its use twice.
inline constexpr Duration TokenReservationDuration = 3s;
/// The window of the limit, and of the use that a holder may continue.
inline constexpr Duration TokenUseWindow = 5s;

/// Tokens of one team that a holder needs.
struct TokenWish {
  TeamName Team_;
  RequestTokens Wanted_;
  /// Spent by holders that the sender lost contact with.
  RequestTokens Reserved_{};

  friend bool operator==(const TokenWish &, const TokenWish &) = default;
};

/// Unspent tokens of an earlier request.
struct TokenReturn {
  TeamName Team_;
  TokenRound Round_;
  RequestTokens Tokens_;

  friend bool operator==(const TokenReturn &, const TokenReturn &) = default;
};

/// From a holder to its grantor. Without content, it only asks for an answer.
struct TokenRequest {
  TokenRound Round_;
  std::vector<TokenWish> Wishes_;
  std::vector<TokenReturn> Returns_;

  friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

struct TokenShare {
  TeamName Team_;
  RequestTokens Granted_;
  /// Time until more tokens are available, if fewer than wanted were granted.
  std::optional<Duration> RetryAfter_;

  friend bool operator==(const TokenShare &, const TokenShare &) = default;
};

/// Answer to the request of a round.
struct TokenGrant {
  TokenRound Round_;
  std::vector<TokenShare> Shares_;

  friend bool operator==(const TokenGrant &, const TokenGrant &) = default;
};

} // namespace jaybridge
