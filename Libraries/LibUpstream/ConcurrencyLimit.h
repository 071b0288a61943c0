#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// Limit on the concurrent requests that a gateway sends to one instance. It
/// follows additive increase and multiplicative decrease (Chiu and Jain 1989)
/// between 1 and the announced slots. Several gateways share an instance, so
/// each of them must reduce its limit when the instance sheds load.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(SlotCount AnnouncedSlots);

  SlotCount current(TimePoint Now) const;
  void setAnnouncedSlots(SlotCount AnnouncedSlots);
  /// The instance shed a request, or a request to it timed out.
  void decrease(TimePoint Now);
  /// A request succeeded while the limit was fully used.
  void increase(TimePoint Now);

private:
  double limitAt(TimePoint Now) const;

  SlotCount AnnouncedSlots_;
  /// Limit at the time ChangedAt_; slots recovered since then come on top.
  double LimitAtChange_;
  TimePoint ChangedAt_{};
};

} // namespace jaybridge
