#include <LibQuota/TokenIssuer.h>

#include <algorithm>

namespace jaybridge {

void TokenIssuer::start(TimePoint Now) {
  StartedAt_ = Now;
  Members_ = {};
  for (auto &[Name, Limited] : Teams_)
    Limited = {TokenBucket(Limited.Bucket_.limit(), {}, Now + TokenLifetime),
               {}};
}

void TokenIssuer::setLimits(const TeamLimits &Limits, TimePoint Now) {
  std::erase_if(
      Teams_, [&](const auto &Known) { return !Limits.contains(Known.first); });
  const bool IsSoleIssuer = Now >= StartedAt_ + TokenUseWindow + TokenLifetime;
  for (const auto &[Name, Limit] : Limits) {
    if (auto Known = Teams_.find(Name); Known != Teams_.end()) {
      refill(Known->second, Now);
      Known->second.Bucket_.setLimit(Limit, Now);
    } else {
      Teams_.emplace(
          Name,
          Team{TokenBucket(Limit, IsSoleIssuer ? Limit.Burst_ : RequestTokens{},
                           IsSoleIssuer ? Now : Now + TokenLifetime),
               {}});
    }
  }
}

TokenGrant TokenIssuer::handle(const MemberId &From,
                               const TokenRequest &Request, TimePoint Now) {
  advance(Now);
  if (Members_.hear(From, Now))
    for (auto &[Name, Limited] : Teams_)
      Limited.Ledger_.endReservation(From);
  for (const TokenReturn &Return : Request.Returns_)
    if (auto Known = Teams_.find(Return.Team_); Known != Teams_.end())
      if (auto Lot = Known->second.Ledger_.takeBack(From, Return, Now))
        Known->second.Bucket_.giveBack(Lot->Tokens_);
  TokenGrant Answer{Request.Round_, {}};
  for (const TokenWish &Wish : Request.Wishes_) {
    const auto Known = Teams_.find(Wish.Team_);
    TokenShare Share =
        Known == Teams_.end()
            ? TokenShare{Wish.Team_, Wish.Wanted_, {}}
            : grant(Known->second, From, Request.Round_, Wish, Now);
    if (Wish.Wanted_ > RequestTokens{})
      Answer.Shares_.push_back(std::move(Share));
  }
  return Answer;
}

TokenShare TokenIssuer::grant(Team &Limited, const MemberId &From,
                              TokenRound Round, const TokenWish &Wish,
                              TimePoint Now) {
  refill(Limited, Now);
  TokenBucket &Bucket = Limited.Bucket_;
  Bucket.reserve(std::max(Wish.Reserved_, RequestTokens{}));
  TokenShare Share{Wish.Team_, {}, {}};
  if (!Limited.Ledger_.isFull())
    Share.Granted_ = Bucket.take(Wish.Wanted_);
  if (Share.Granted_ > RequestTokens{})
    Limited.Ledger_.record({From, Round, {}, Share.Granted_, Now});
  if (Share.Granted_ < Wish.Wanted_)
    Share.RetryAfter_ = Bucket.timeUntil(RequestTokens(1), Now);
  return Share;
}

void TokenIssuer::refill(Team &Limited, TimePoint Now) {
  const TeamLimit &Limit = Limited.Bucket_.limit();
  const RequestTokens RefillOfLifetime(
      Limit.Rate_.value() *
      std::chrono::duration<double>(TokenLifetime).count());
  Limited.Bucket_.refill(Limited.Bucket_.capacity() + RefillOfLifetime -
                             Limited.Ledger_.outstanding(Now),
                         Now);
  Limited.Bucket_.reserve(Limited.Ledger_.takeReserved(Now));
}

void TokenIssuer::advance(TimePoint Now) {
  Members_.removeSilent(Now, [&](const MemberId &Member, TimePoint LastHeard) {
    for (auto &[Name, Limited] : Teams_)
      Limited.Ledger_.startReservation(Member, LastHeard);
  });
}

} // namespace jaybridge
