#include <LibQuota/TokenRelay.h>

#include <algorithm>

namespace jaybridge {

TokenRelay::Team *TokenRelay::findOrAdd(const TeamName &Name) {
  if (auto Known = Teams_.find(Name); Known != Teams_.end())
    return &Known->second;
  return Teams_.size() < MaxTeams ? &Teams_[Name] : nullptr;
}

void TokenRelay::handle(const MemberId &Gateway, const TokenRequest &Request,
                        TimePoint Now, Grants &Out) {
  advance(Now);
  if (Gateways_.hear(Gateway, Now))
    for (auto &[Name, Limited] : Teams_)
      Limited.Ledger_.endReservation(Gateway);
  for (const TokenReturn &Return : Request.Returns_)
    if (auto Known = Teams_.find(Return.Team_); Known != Teams_.end())
      if (auto Lot = Known->second.Ledger_.takeBack(Gateway, Return, Now))
        Holder_.returnTokens({Return.Team_, Lot->SourceRound_, Lot->Tokens_});
  TokenGrant Answer{Request.Round_, {}};
  bool IsPending = false;
  for (const TokenWish &Wish : Request.Wishes_) {
    Team *Used = findOrAdd(Wish.Team_);
    if (!Used)
      continue;
    Holder_.reserve(Wish.Team_, Wish.Reserved_);
    const RequestTokens Granted =
        passOn(Wish.Team_, *Used, Gateway, Request.Round_, Wish.Wanted_, Now);
    if (Granted > RequestTokens{})
      Answer.Shares_.push_back({Wish.Team_, Granted, {}});
    const RequestTokens Missing = Wish.Wanted_ - Granted;
    if (Missing <= RequestTokens{})
      continue;
    if (PendingCount_ >= MaxPendingWishes ||
        !Holder_.request(Wish.Team_, Missing, Now))
      continue;
    ++PendingCount_;
    IsPending = true;
    Used->Pending_.push_back({Gateway, Request.Round_, Missing,
                              Now + PendingWishTimeout, std::nullopt});
  }
  // A request that waits is answered when the leader has answered; an answer
  // states that there is contact.
  if (!Answer.Shares_.empty() || (!IsPending && Holder_.hasContact(Now)))
    Out.push_back({Gateway, std::move(Answer)});
}

RequestTokens TokenRelay::passOn(const TeamName &Name, Team &Limited,
                                 const MemberId &Gateway, TokenRound Round,
                                 RequestTokens Wanted, TimePoint Now) {
  RequestTokens Granted;
  while (Granted + RequestTokens(1) <= Wanted && !Limited.Ledger_.isFull()) {
    const auto Token = Holder_.take(Name, Now);
    if (!Token)
      break;
    Limited.Ledger_.record(
        {Gateway, Round, Token->Round_, RequestTokens(1), Now});
    Granted += RequestTokens(1);
  }
  return Granted;
}

void TokenRelay::handle(const TokenGrant &Grant, TimePoint Now, Grants &Out) {
  if (!Holder_.accept(Grant, Now))
    return;
  // What a gateway gets for one of its requests shares a message.
  std::map<std::pair<MemberId, TokenRound>, std::vector<TokenShare>> Answers;
  for (const TokenShare &Share : Grant.Shares_) {
    const auto Known = Teams_.find(Share.Team_);
    if (Known == Teams_.end())
      continue;
    auto &Pending = Known->second.Pending_;
    const std::size_t Before = Pending.size();
    std::erase_if(Pending, [&](PendingWish &Wish) {
      if (Now > Wish.Until_)
        return true;
      const RequestTokens Granted =
          passOn(Share.Team_, Known->second, Wish.Gateway_, Wish.Round_,
                 Wish.Missing_, Now);
      Wish.Missing_ -= Granted;
      const bool IsAnswered = Wish.Missing_ <= RequestTokens{} ||
                              (Wish.AskedIn_ && *Wish.AskedIn_ <= Grant.Round_);
      TokenShare Passed{Share.Team_, Granted, {}};
      if (IsAnswered && Wish.Missing_ > RequestTokens{})
        Passed.RetryAfter_ = Share.RetryAfter_.value_or(Duration{});
      if (IsAnswered || Granted > RequestTokens{})
        Answers[{Wish.Gateway_, Wish.Round_}].push_back(std::move(Passed));
      return IsAnswered;
    });
    PendingCount_ -= Before - Pending.size();
  }
  for (auto &[Request, Shares] : Answers)
    Out.push_back({Request.first, {Request.second, std::move(Shares)}});
}

void TokenRelay::changeLeader() {
  Holder_.changeGrantor();
  // The new leader has to be asked for what the previous one did not answer.
  for (auto &[Name, Limited] : Teams_)
    for (PendingWish &Wish : Limited.Pending_)
      if (Wish.AskedIn_) {
        Wish.AskedIn_.reset();
        Holder_.request(Name, Wish.Missing_, Wish.Until_ - PendingWishTimeout);
      }
}

void TokenRelay::advance(TimePoint Now) {
  Gateways_.removeSilent(Now, [&](const MemberId &Gateway, TimePoint Heard) {
    for (auto &[Name, Limited] : Teams_)
      Limited.Ledger_.startReservation(Gateway, Heard);
  });
  if (Now < NextReservation_)
    return;
  NextReservation_ = Now + TokenKeepAliveInterval;
  for (auto Entry = Teams_.begin(); Entry != Teams_.end();) {
    auto &[Name, Limited] = *Entry;
    Holder_.reserve(Name, Limited.Ledger_.takeReserved(Now));
    const std::size_t Before = Limited.Pending_.size();
    std::erase_if(Limited.Pending_,
                  [&](const PendingWish &Wish) { return Now > Wish.Until_; });
    PendingCount_ -= Before - Limited.Pending_.size();
    Entry = Limited.Pending_.empty() && Limited.Ledger_.isIdle(Now)
                ? Teams_.erase(Entry)
                : std::next(Entry);
  }
}

std::optional<TokenRequest> TokenRelay::takeRequest(TimePoint Now) {
  advance(Now);
  auto Request = Holder_.takeRequest(Now);
  if (Request)
    for (const TokenWish &Wish : Request->Wishes_)
      if (auto Known = Teams_.find(Wish.Team_); Known != Teams_.end())
        for (PendingWish &Pending : Known->second.Pending_)
          if (!Pending.AskedIn_)
            Pending.AskedIn_ = Request->Round_;
  return Request;
}

std::optional<TimePoint> TokenRelay::nextDeadline() const {
  std::optional<TimePoint> Next = Holder_.nextDeadline();
  if (!Teams_.empty())
    Next = std::min(Next.value_or(NextReservation_), NextReservation_);
  return Next;
}

} // namespace jaybridge
