#pragma once

#include <LibQuota/TokenUse.h>

#include <deque>

namespace jaybridge {

/// A token that its holder may spend until a time.
struct HeldToken {
  TokenRound Round_;
  TimePoint Until_;
};

struct TokenHolderSettings {
  /// Time from a request to the end of what it was granted.
  Duration Lifetime_;
  /// Minimum time between two requests; what is needed in between shares the
  /// next one.
  Duration RequestInterval_;
};

/// A holder's view of its grantor, used by a gateway toward its member and by a
/// member toward the leader: the tokens that it has, what it needs, and the
/// requests for that. All times are of the holder's own clock, so that neither
/// a late message nor a frozen process prolongs the life of a token.
class TokenHolder {
public:
  /// Requests that may be answered; answers to older ones are ignored.
  static constexpr std::size_t MaxOpenRounds = 64;
  /// Teams for which state is kept at once.
  static constexpr std::size_t MaxTeams = 16'384;

  /// The first round must differ between starts of a process: an answer to an
  /// earlier start must not be taken for one of this start.
  TokenHolder(TokenHolderSettings Settings, TokenRound FirstRound)
      : Settings_(Settings), LastRound_(FirstRound) {}

  /// Takes a token out of the stock.
  std::optional<HeldToken> take(const TeamName &Team, TimePoint Now);
  /// Returns an unspent token to the stock.
  void putBack(const TeamName &Team, const HeldToken &Token, TimePoint Now);
  /// Requests tokens beyond the stock with the next message. False when too
  /// many teams have state.
  bool request(const TeamName &Team, RequestTokens Wanted, TimePoint Now);
  void reserve(const TeamName &Team, RequestTokens Spent);
  /// Returns tokens to the grantor with the next message.
  void returnTokens(TokenReturn Unspent);

  /// Adds what was granted to the stock; false for an answer to a round that is
  /// not open.
  bool accept(const TokenGrant &Grant, TimePoint Now);
  /// The grantor changed: tokens remain, open requests are void.
  void changeGrantor();
  /// The next message, if one is due; tokens that are not needed are returned
  /// with it.
  std::optional<TokenRequest> takeRequest(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;
  /// When the oldest request that no answer followed was sent.
  std::optional<TimePoint> waitsSince() const { return WaitsSince_; }
  /// False once a request is unanswered for TokenContactTimeout.
  bool hasContact(TimePoint Now) const {
    return !WaitsSince_ || Now < *WaitsSince_ + TokenContactTimeout;
  }

private:
  struct Lot {
    TokenRound Round_;
    RequestTokens Tokens_;
    TimePoint Until_;
  };
  struct Need {
    RequestTokens Wanted_;
    RequestTokens Reserved_;
  };
  struct OpenRound {
    TokenRound Round_;
    TimePoint SentAt_;
  };
  /// Moves tokens that are not needed to the returns, and drops expired ones.
  void returnUnused(TimePoint Now);

  TokenHolderSettings Settings_;
  std::map<TeamName, std::deque<Lot>> Stock_;
  std::map<TeamName, Need> Needs_;
  std::vector<TokenReturn> Returns_;
  std::deque<OpenRound> OpenRounds_;
  TokenRound LastRound_;
  TokenRound NewestAnswered_;
  TimePoint LastSentAt_{};
  std::optional<TimePoint> WaitsSince_;
  TimePoint KeepAliveUntil_{};
};

} // namespace jaybridge
