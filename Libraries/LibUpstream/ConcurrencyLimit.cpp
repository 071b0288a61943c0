#include <LibUpstream/ConcurrencyLimit.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr SlotCount MinLimit(1);
constexpr double DecreaseFactor = 0.75;
/// Slots regained over one round of successes, which is one success per slot of
/// the limit. With a whole slot per round, gateways that share an instance
/// caused several times more sheds.
constexpr double IncreasePerRound = 0.25;
/// Slots regained over time without any successful request. An idle instance
/// with a low limit looks loaded, so it is not selected and would never get the
/// successes that raise its limit.
constexpr double RecoveryPerSecond = 0.25;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(SlotCount AnnouncedSlots,
                                   std::optional<Duration> RecoveryTime)
    : AnnouncedSlots_(std::max(MinLimit, AnnouncedSlots)),
      RecoveryTime_(RecoveryTime), LimitAtChange_(AnnouncedSlots_.value()) {}

SlotCount ConcurrencyLimit::current(TimePoint Now) const {
  return SlotCount(static_cast<std::uint32_t>(limitAt(Now)));
}

void ConcurrencyLimit::setAnnouncedSlots(SlotCount AnnouncedSlots) {
  SlotCount NewSlots = std::max(MinLimit, AnnouncedSlots);
  if (NewSlots == AnnouncedSlots_)
    return;
  AnnouncedSlots_ = NewSlots;
  LimitAtChange_ = AnnouncedSlots_.value();
}

void ConcurrencyLimit::decrease(TimePoint Now) {
  LimitAtChange_ =
      std::max<double>(MinLimit.value(), limitAt(Now) * DecreaseFactor);
  ChangedAt_ = Now;
}

void ConcurrencyLimit::increase(TimePoint Now) {
  double Limit = limitAt(Now);
  LimitAtChange_ = std::min<double>(AnnouncedSlots_.value(),
                                    Limit + IncreasePerRound / Limit);
  ChangedAt_ = Now;
}

double ConcurrencyLimit::recoveryPerSecond() const {
  if (!RecoveryTime_)
    return RecoveryPerSecond;
  return AnnouncedSlots_.value() /
         std::chrono::duration<double>(*RecoveryTime_).count();
}

double ConcurrencyLimit::limitAt(TimePoint Now) const {
  double Recovery = std::chrono::duration<double>(Now - ChangedAt_).count() *
                    recoveryPerSecond();
  return std::min<double>(AnnouncedSlots_.value(), LimitAtChange_ + Recovery);
}

} // namespace jaybridge
