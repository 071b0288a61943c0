#pragma once

#include <LibCore/Time.h>
#include <LibProfile/Team.h>

namespace jaybridge {

/// Tokens of one team, which refill at the rate up to the burst. The level is
/// negative while reservations exceed it.
class TokenBucket {
public:
  /// A bucket with the given level that starts to refill at a time.
  TokenBucket(TeamLimit Limit, RequestTokens Level, TimePoint RefillsFrom)
      : Limit_(Limit), Level_(Level), RefilledAt_(RefillsFrom) {}

  /// A bucket holds at least one token and the refill of this time, which is
  /// two intervals of the members' requests; less would be lost between them.
  static constexpr Duration MinBurstDuration = 40ms;

  const TeamLimit &limit() const { return Limit_; }
  RequestTokens level() const { return Level_; }
  RequestTokens capacity() const;
  /// Cuts the level to the new burst.
  void setLimit(TeamLimit Limit, TimePoint Now);
  /// Refills up to the burst and at most to Ceiling.
  void refill(RequestTokens Ceiling, TimePoint Now);
  /// Takes whole tokens, at most those wanted, and returns their number.
  RequestTokens take(RequestTokens Wanted);
  void giveBack(RequestTokens Tokens) { Level_ += Tokens; }
  /// Takes tokens that are spent whether or not they are available. The level
  /// does not fall below zero.
  void reserve(RequestTokens Tokens);
  /// Time until the bucket holds this many tokens.
  Duration timeUntil(RequestTokens Tokens, TimePoint Now) const;

private:
  TeamLimit Limit_;
  RequestTokens Level_;
  TimePoint RefilledAt_;
};

} // namespace jaybridge
