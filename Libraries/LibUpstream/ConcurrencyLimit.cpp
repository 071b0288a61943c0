#include <LibUpstream/ConcurrencyLimit.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr SlotCount Least(1);
constexpr double DecreaseFactor = 0.75;
/// Share of a slot regained over one full round of successes. A whole slot
/// per round makes gateways that share an instance shed several times more.
constexpr double IncreasePerRound = 0.25;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(SlotCount Announced)
    : Announced_(std::max(Least, Announced)), Value_(Announced_.value()) {}

SlotCount ConcurrencyLimit::current() const {
  return std::max(Least, SlotCount(static_cast<std::uint32_t>(Value_)));
}

void ConcurrencyLimit::setAnnounced(SlotCount Announced) {
  SlotCount Bounded = std::max(Least, Announced);
  if (Bounded == Announced_)
    return;
  Announced_ = Bounded;
  Value_ = Announced_.value();
}

void ConcurrencyLimit::decrease() {
  Value_ = std::max(1.0, Value_ * DecreaseFactor);
}

void ConcurrencyLimit::increase() {
  Value_ =
      std::min<double>(Announced_.value(), Value_ + IncreasePerRound / Value_);
}

} // namespace jaybridge
