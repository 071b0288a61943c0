#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// How many requests a gateway keeps on one instance: additive increase and
/// multiplicative decrease (Chiu and Jain 1989) between 1 and the announced
/// slots. Several gateways share an instance, so each must give way when the
/// instance sheds.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(SlotCount Announced);

  SlotCount current(TimePoint Now) const;
  void setAnnounced(SlotCount Announced);
  /// The instance shed work or timed out.
  void decrease(TimePoint Now);
  /// A request succeeded while the limit was used up.
  void increase(TimePoint Now);

private:
  double valueAt(TimePoint Now) const;

  SlotCount Announced_;
  /// As of ChangedAt_.
  double Value_;
  TimePoint ChangedAt_{};
};

} // namespace jaybridge
