#include <LibUpstream/ConcurrencyLimit.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr SlotCount Least(1);
constexpr double DecreaseFactor = 0.75;
/// Share of a slot regained over one full round of successes. A whole slot
/// per round makes gateways that share an instance shed several times more.
constexpr double IncreasePerRound = 0.25;
/// Slots regained without evidence. An idle instance with a low limit looks
/// loaded, is passed over, and could never show that it has recovered.
constexpr double RecoveryPerSecond = 0.25;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(SlotCount Announced)
    : Announced_(std::max(Least, Announced)), Value_(Announced_.value()) {}

SlotCount ConcurrencyLimit::current(TimePoint Now) const {
  return SlotCount(static_cast<std::uint32_t>(valueAt(Now)));
}

void ConcurrencyLimit::setAnnounced(SlotCount Announced) {
  SlotCount Bounded = std::max(Least, Announced);
  if (Bounded == Announced_)
    return;
  Announced_ = Bounded;
  Value_ = Announced_.value();
}

void ConcurrencyLimit::decrease(TimePoint Now) {
  Value_ = std::max<double>(Least.value(), valueAt(Now) * DecreaseFactor);
  ChangedAt_ = Now;
}

void ConcurrencyLimit::increase(TimePoint Now) {
  double Value = valueAt(Now);
  Value_ =
      std::min<double>(Announced_.value(), Value + IncreasePerRound / Value);
  ChangedAt_ = Now;
}

double ConcurrencyLimit::valueAt(TimePoint Now) const {
  double Recovered = std::chrono::duration<double>(Now - ChangedAt_).count() *
                     RecoveryPerSecond;
  return std::min<double>(Announced_.value(), Value_ + Recovered);
}

} // namespace jaybridge
