#pragma once

#include <LibQuota/TokenUse.h>

#include <deque>

namespace jaybridge {

/// A grantor's view of the tokens of one team: what each holder was granted,
/// until it is returned or can no longer be spent, and what it used lately.
class TeamLedger {
public:
  struct Lot {
    MemberId Holder_;
    TokenRound Round_;
    /// The round in which the grantor itself received the tokens.
    TokenRound SourceRound_;
    RequestTokens Tokens_;
    TimePoint GrantedAt_;
  };

  /// Lots that are kept. Further ones are not granted: a team would need 13,000
  /// grants a second for that.
  static constexpr std::size_t MaxLots = 4096;

  bool isFull() const { return Lots_.size() >= MaxLots; }
  void record(Lot Granted);
  /// Returns the lot that unspent tokens belong to, with at most the number
  /// that is still outstanding. Tokens that are expired here are gone: they
  /// were replaced already.
  std::optional<Lot> takeBack(const MemberId &Holder, const TokenReturn &Return,
                              TimePoint Now);
  /// Tokens that holders may still spend.
  RequestTokens outstanding(TimePoint Now);

  /// The contact with the holder is lost: from now on it is assumed to spend
  /// its recent use per second.
  void startReservation(const MemberId &Holder, TimePoint LastHeardAt);
  void endReservation(const MemberId &Holder) { Reserved_.erase(Holder); }
  /// Tokens that silent holders may have spent since the previous call.
  RequestTokens takeReserved(TimePoint Now);
  bool isIdle(TimePoint Now);

private:
  struct Reservation {
    RequestRate Rate_;
    TimePoint CountedUntil_;
    TimePoint Until_;
  };
  void expire(TimePoint Now);

  std::deque<Lot> Lots_;
  RequestTokens Outstanding_;
  std::map<MemberId, TokenUse> Uses_;
  std::map<MemberId, Reservation> Reserved_;
};

} // namespace jaybridge
