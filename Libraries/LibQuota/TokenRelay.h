#pragma once

#include <LibQuota/HolderContacts.h>
#include <LibQuota/TeamLedger.h>
#include <LibQuota/TokenHolder.h>

namespace jaybridge {

/// Answer to a gateway.
struct GatewayTokenGrant {
  MemberId To_;
  TokenGrant Grant_;
};

/// A control member's part: it requests from the leader what all gateways that
/// follow it need together, and passes the tokens on in the order of their
/// requests. It is a grantor to the gateways and a holder to the leader.
class TokenRelay {
public:
  using Grants = std::vector<GatewayTokenGrant>;

  /// Teams whose tokens were passed on or requested lately.
  static constexpr std::size_t MaxTeams = TokenHolder::MaxTeams;
  /// Wishes of gateways that wait for the leader.
  static constexpr std::size_t MaxPendingWishes = 16'384;
  /// A wish is dropped when its gateway has refused the requests behind it.
  static constexpr Duration PendingWishTimeout = 150ms;
  /// Bounds the leader's work to 50 requests a second from each member.
  static constexpr Duration RequestInterval = 20ms;

  explicit TokenRelay(TokenRound FirstRound)
      : Holder_({MemberTokenLifetime, RequestInterval}, FirstRound) {}

  void handle(const MemberId &Gateway, const TokenRequest &Request,
              TimePoint Now, Grants &Out);
  void handle(const TokenGrant &Grant, TimePoint Now, Grants &Out);
  void changeLeader();
  /// Reserves the rates of gateways that became silent.
  void advance(TimePoint Now);
  std::optional<TokenRequest> takeRequest(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;

private:
  struct PendingWish {
    MemberId Gateway_;
    TokenRound Round_;
    RequestTokens Missing_;
    TimePoint Until_;
    /// The request to the leader that contains it; none before it is sent.
    std::optional<TokenRound> AskedIn_;
  };
  struct Team {
    TeamLedger Ledger_;
    std::deque<PendingWish> Pending_;
  };
  /// Returns null when too many teams are in use.
  Team *findOrAdd(const TeamName &Name);
  /// Passes on tokens of the stock, at most those wanted.
  RequestTokens passOn(const TeamName &Name, Team &Limited,
                       const MemberId &Gateway, TokenRound Round,
                       RequestTokens Wanted, TimePoint Now);

  TokenHolder Holder_;
  std::map<TeamName, Team> Teams_;
  std::size_t PendingCount_ = 0;
  HolderContacts Gateways_;
  TimePoint NextReservation_{};
};

} // namespace jaybridge
