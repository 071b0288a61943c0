#include <LibQuota/GatewayTokens.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

/// Time of the rate without contact that accumulates as a burst.
constexpr Duration FallbackBurstDuration = 300ms;

} // namespace

void GatewayTokens::setLimits(TeamLimits Limits) {
  Limits_ = std::move(Limits);
  std::erase_if(Teams_, [&](const auto &Known) {
    return !Limits_.contains(Known.first);
  });
}

std::optional<SpentToken> GatewayTokens::take(const TeamName &Name,
                                              TimePoint Now) {
  Team &Used = Teams_[Name];
  if (auto Held = Holder_.take(Name, Now)) {
    if (!Used.Fallback_)
      Used.Use_.record(RequestTokens(1), Now);
    return SpentToken{Held};
  }
  if (Holder_.hasContact(Now)) {
    Used.Fallback_.reset();
    return std::nullopt;
  }
  return takeWithoutContact(Name, Used, Now);
}

std::optional<SpentToken>
GatewayTokens::takeWithoutContact(const TeamName &Name, Team &Used,
                                  TimePoint Now) {
  const auto Limit = Limits_.find(Name);
  if (Limit == Limits_.end())
    return std::nullopt;
  if (!Used.Fallback_) {
    const TimePoint LostAt = Holder_.waitsSince().value_or(Now);
    // The use of all gateways in this time is at most its refill and the burst.
    // Of that, the refill may continue.
    const double LimitRate = Limit->second.Rate_.value();
    const double MostOfAll =
        LimitRate *
            std::chrono::duration<double>(Used.Use_.age(LostAt)).count() +
        Limit->second.Burst_.value();
    const RequestRate Rate(Used.Use_.total(LostAt).value() * LimitRate /
                           MostOfAll);
    // Requests do not arrive evenly: without a burst, half of those at the
    // mean rate would be refused.
    const RequestTokens Burst(
        1 + Rate.value() *
                std::chrono::duration<double>(FallbackBurstDuration).count());
    Used.Fallback_.emplace(TeamLimit{Rate, Burst}, RequestTokens{},
                           LostAt + TokenContactTimeout);
  }
  Used.Fallback_->refill(Used.Fallback_->capacity(), Now);
  if (Used.Fallback_->take(RequestTokens(1)) < RequestTokens(1))
    return std::nullopt;
  Holder_.reserve(Name, RequestTokens(1));
  return SpentToken{};
}

void GatewayTokens::putBack(const TeamName &Name, const SpentToken &Token,
                            TimePoint Now) {
  if (!Token.Held_ || !Limits_.contains(Name))
    return;
  Holder_.putBack(Name, *Token.Held_, Now);
  Teams_[Name].Use_.record(RequestTokens(-1), Now);
}

bool GatewayTokens::request(const TeamName &Name, TimePoint Now) {
  if (refusalTime(Name, Now))
    return false;
  const double Stock = Teams_[Name].Use_.rate(Now).value() *
                       std::chrono::duration<double>(StockDuration).count();
  return Holder_.request(Name, RequestTokens(1 + std::floor(Stock)), Now);
}

std::optional<Duration> GatewayTokens::refusalTime(const TeamName &Name,
                                                   TimePoint Now) const {
  const auto Known = Teams_.find(Name);
  if (Known == Teams_.end() || Now >= Known->second.RefusedUntil_)
    return std::nullopt;
  return std::max(Known->second.AvailableAt_, Known->second.RefusedUntil_) -
         Now;
}

bool GatewayTokens::accept(const TokenGrant &Grant, TimePoint Now) {
  if (!Holder_.accept(Grant, Now))
    return false;
  if (Holder_.hasContact(Now))
    for (auto &[Name, Used] : Teams_)
      Used.Fallback_.reset();
  for (const TokenShare &Share : Grant.Shares_) {
    const auto Known = Teams_.find(Share.Team_);
    if (Known == Teams_.end() || !Share.RetryAfter_)
      continue;
    const Duration Wait = std::max(*Share.RetryAfter_, Duration::zero());
    Known->second.AvailableAt_ = Now + Wait;
    Known->second.RefusedUntil_ =
        Now + std::clamp(Wait, MinRefusalDuration, MaxRefusalDuration);
  }
  return true;
}

} // namespace jaybridge
