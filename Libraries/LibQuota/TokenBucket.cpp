#include <LibQuota/TokenBucket.h>
#include <LibQuota/TokenMessages.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

namespace {

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

RequestTokens TokenBucket::capacity() const {
  return std::max(
      {Limit_.Burst_, RequestTokens(1),
       RequestTokens(Limit_.Rate_.value() * secondsOf(MinBurstDuration))});
}

void TokenBucket::setLimit(TeamLimit Limit, TimePoint Now) {
  refill(capacity(), Now);
  Limit_ = Limit;
  Level_ = std::min(Level_, capacity());
}

void TokenBucket::refill(RequestTokens Ceiling, TimePoint Now) {
  if (Now > RefilledAt_) {
    Level_ +=
        RequestTokens(Limit_.Rate_.value() * secondsOf(Now - RefilledAt_));
    RefilledAt_ = Now;
  }
  Level_ = std::min({Level_, Ceiling, capacity()});
}

RequestTokens TokenBucket::take(RequestTokens Wanted) {
  const RequestTokens Taken(
      std::max(0.0, std::floor(std::min(Wanted, Level_).value())));
  Level_ -= Taken;
  return Taken;
}

void TokenBucket::reserve(RequestTokens Tokens) {
  // Holders without contact spend within the rate, while the bucket gets no
  // refill or a full one. A debt would refuse what is inside the limit for
  // seconds after the contact is back.
  Level_ = std::max(Level_ - Tokens, std::min(Level_, RequestTokens{}));
}

Duration TokenBucket::timeUntil(RequestTokens Tokens, TimePoint Now) const {
  const double Missing = (Tokens - Level_).value();
  if (Missing <= 0)
    return {};
  // A rate close to zero would overflow the duration.
  constexpr double MaxSeconds = 3600;
  const double Seconds =
      std::min(Missing / std::max(Limit_.Rate_.value(), 1e-9), MaxSeconds);
  return std::max(Duration::zero(), RefilledAt_ - Now) +
         std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

} // namespace jaybridge
