#include <LibQuota/TokenHolder.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

std::optional<HeldToken> TokenHolder::take(const TeamName &Team,
                                           TimePoint Now) {
  const auto Stock = Stock_.find(Team);
  if (Stock == Stock_.end())
    return std::nullopt;
  std::deque<Lot> &Lots = Stock->second;
  while (!Lots.empty() &&
         (Lots.front().Until_ < Now || Lots.front().Tokens_ < RequestTokens(1)))
    Lots.pop_front();
  std::optional<HeldToken> Taken;
  if (!Lots.empty()) {
    Taken = HeldToken{Lots.front().Round_, Lots.front().Until_};
    Lots.front().Tokens_ -= RequestTokens(1);
    KeepAliveUntil_ = Now + TokenUseWindow + TokenLifetime;
  }
  if (Lots.empty())
    Stock_.erase(Stock);
  return Taken;
}

void TokenHolder::putBack(const TeamName &Team, const HeldToken &Token,
                          TimePoint Now) {
  if (Token.Until_ >= Now)
    Stock_[Team].push_front({Token.Round_, RequestTokens(1), Token.Until_});
}

bool TokenHolder::request(const TeamName &Team, RequestTokens Wanted,
                          TimePoint Now) {
  if (Needs_.size() >= MaxTeams && !Needs_.contains(Team))
    return false;
  Needs_[Team].Wanted_ += Wanted;
  KeepAliveUntil_ = Now + TokenUseWindow + TokenLifetime;
  return true;
}

void TokenHolder::reserve(const TeamName &Team, RequestTokens Spent) {
  if (Spent > RequestTokens{} &&
      (Needs_.size() < MaxTeams || Needs_.contains(Team)))
    Needs_[Team].Reserved_ += Spent;
}

void TokenHolder::returnTokens(TokenReturn Unspent) {
  // Tokens that are not returned expire at the grantor.
  if (Returns_.size() < MaxTeams)
    Returns_.push_back(std::move(Unspent));
}

bool TokenHolder::accept(const TokenGrant &Grant, TimePoint Now) {
  const auto Open = std::find_if(
      OpenRounds_.begin(), OpenRounds_.end(),
      [&](const OpenRound &Sent) { return Sent.Round_ == Grant.Round_; });
  if (Open == OpenRounds_.end())
    return false;
  NewestAnswered_ = std::max(NewestAnswered_, Grant.Round_);
  const auto Unanswered =
      std::find_if(Open, OpenRounds_.end(), [&](const OpenRound &Sent) {
        return Sent.Round_ > NewestAnswered_;
      });
  WaitsSince_.reset();
  if (Unanswered != OpenRounds_.end())
    WaitsSince_ = Unanswered->SentAt_;
  const TimePoint Until = Open->SentAt_ + Settings_.Lifetime_;
  for (const TokenShare &Share : Grant.Shares_)
    if (Share.Granted_ > RequestTokens{} && Until >= Now) {
      Stock_[Share.Team_].push_back({Grant.Round_, Share.Granted_, Until});
      KeepAliveUntil_ = Now + TokenUseWindow + TokenLifetime;
    }
  return true;
}

void TokenHolder::changeGrantor() {
  OpenRounds_.clear();
  Returns_.clear();
}

void TokenHolder::returnUnused(TimePoint Now) {
  for (auto Stock = Stock_.begin(); Stock != Stock_.end();) {
    auto &[Team, Lots] = *Stock;
    std::erase_if(Lots, [&, &Name = Team](const Lot &Held) {
      const bool IsUnused = Held.Until_ - Now < Settings_.Lifetime_ / 2;
      if (IsUnused && Held.Until_ >= Now && Held.Tokens_ > RequestTokens{})
        returnTokens({Name, Held.Round_, Held.Tokens_});
      return IsUnused || Held.Tokens_ <= RequestTokens{};
    });
    Stock = Lots.empty() ? Stock_.erase(Stock) : std::next(Stock);
  }
}

std::optional<TokenRequest> TokenHolder::takeRequest(TimePoint Now) {
  if (const auto Due = nextDeadline(); !Due || Now < *Due)
    return std::nullopt;
  returnUnused(Now);
  TokenRequest Request;
  LastRound_ = LastRound_.next();
  Request.Round_ = LastRound_;
  for (const auto &[Team, Needed] : Needs_)
    Request.Wishes_.push_back({Team, Needed.Wanted_, Needed.Reserved_});
  Needs_.clear();
  Request.Returns_ = std::exchange(Returns_, {});
  LastSentAt_ = Now;
  if (!WaitsSince_)
    WaitsSince_ = Now;
  OpenRounds_.push_back({LastRound_, Now});
  if (OpenRounds_.size() > MaxOpenRounds)
    OpenRounds_.pop_front();
  return Request;
}

std::optional<TimePoint> TokenHolder::nextDeadline() const {
  if (!Needs_.empty() || !Returns_.empty())
    return LastSentAt_ + Settings_.RequestInterval_;
  const TimePoint KeepAliveAt = LastSentAt_ + TokenKeepAliveInterval;
  if (KeepAliveAt <= KeepAliveUntil_)
    return KeepAliveAt;
  return std::nullopt;
}

} // namespace jaybridge
