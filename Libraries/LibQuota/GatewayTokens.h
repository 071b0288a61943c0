#pragma once

#include <LibQuota/TokenBucket.h>
#include <LibQuota/TokenHolder.h>

namespace jaybridge {

/// A token that a request spends; without one of the grantor, it was spent
/// without contact.
struct SpentToken {
  std::optional<HeldToken> Held_;
};

/// A gateway's tokens of all limited teams. Without contact to a grantor, it
/// goes on at the rate of its use in the last 5 s of contact, reduced so that
/// the gateways together stay within the rate of the team even if their use
/// included the burst.
class GatewayTokens {
public:
  /// Minimum time between requests for tokens: 100 messages a second.
  static constexpr Duration RequestInterval = 10ms;
  /// A request for tokens asks for the use of this time in addition, which a
  /// gateway with ten requests of a team in a second notices.
  static constexpr Duration StockDuration = 100ms;
  /// After a grantor has reported that a team has no tokens, requests are
  /// refused at once for the reported time within these bounds.
  static constexpr Duration MinRefusalDuration = 10ms;
  static constexpr Duration MaxRefusalDuration = 100ms;

  explicit GatewayTokens(TokenRound FirstRound)
      : Holder_({GatewayTokenLifetime, RequestInterval}, FirstRound) {}

  void setLimits(TeamLimits Limits);
  bool isLimited(const TeamName &Team) const { return Limits_.contains(Team); }

  std::optional<SpentToken> take(const TeamName &Team, TimePoint Now);
  /// The request that spent the token did not run.
  void putBack(const TeamName &Team, const SpentToken &Token, TimePoint Now);
  /// Requests a token for a request that waits. False when it would not be
  /// granted.
  bool request(const TeamName &Team, TimePoint Now);
  /// Time until the team has tokens, if its limit is reached.
  std::optional<Duration> refusalTime(const TeamName &Team,
                                      TimePoint Now) const;

  bool accept(const TokenGrant &Grant, TimePoint Now);
  std::optional<TokenRequest> takeRequest(TimePoint Now) {
    return Holder_.takeRequest(Now);
  }
  std::optional<TimePoint> nextDeadline() const {
    return Holder_.nextDeadline();
  }
  bool hasContact(TimePoint Now) const { return Holder_.hasContact(Now); }

private:
  struct Team {
    TokenUse Use_;
    TimePoint RefusedUntil_{};
    TimePoint AvailableAt_{};
    /// Present while there is no contact.
    std::optional<TokenBucket> Fallback_;
  };
  std::optional<SpentToken> takeWithoutContact(const TeamName &Name, Team &Used,
                                               TimePoint Now);

  TokenHolder Holder_;
  TeamLimits Limits_;
  std::map<TeamName, Team> Teams_;
};

} // namespace jaybridge
