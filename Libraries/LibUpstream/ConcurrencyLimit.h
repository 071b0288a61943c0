#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <optional>

namespace jaybridge {

/// Limit on the concurrent requests that a gateway sends to one instance. It
/// follows additive increase and multiplicative decrease (Chiu and Jain 1989)
/// between 1 and the announced slots. Several gateways share an instance, so
/// each of them must reduce its limit when the instance sheds load.
class ConcurrencyLimit {
public:
  /// Without a recovery time, a lowered limit regains a slot in four seconds.
  explicit ConcurrencyLimit(SlotCount AnnouncedSlots,
                            std::optional<Duration> RecoveryTime = {});

  SlotCount current(TimePoint Now) const;
  void setAnnouncedSlots(SlotCount AnnouncedSlots);
  /// The instance shed a request, or a request to it timed out.
  void decrease(TimePoint Now);
  /// A request succeeded while the limit was fully used.
  void increase(TimePoint Now);

private:
  double limitAt(TimePoint Now) const;
  double recoveryPerSecond() const;

  SlotCount AnnouncedSlots_;
  /// Time in which the lowest limit rises to the announced slots.
  std::optional<Duration> RecoveryTime_;
  /// Limit at the time ChangedAt_; slots recovered since then come on top.
  double LimitAtChange_;
  TimePoint ChangedAt_{};
};

} // namespace jaybridge
