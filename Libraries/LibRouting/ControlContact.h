#pragma once

#include <LibExchange/Answer.h>

namespace jaybridge {

/// Whether a control member confirms the configuration of a gateway. Without
/// confirmation a newer version may have a key or a route that this gateway
/// does not know.
class ControlContact {
public:
  /// Time without a confirmed member after which the configuration may be
  /// outdated. A gateway usually finds another member within milliseconds.
  static constexpr Duration OutdatedAfter = 300ms;

  void update(bool IsConfirmed, TimePoint Now) {
    if (IsConfirmed)
      LostAt_.reset();
    else if (HasEverBeenConfirmed_ && !LostAt_)
      LostAt_ = Now;
    HasEverBeenConfirmed_ = HasEverBeenConfirmed_ || IsConfirmed;
  }
  bool isOutdated(TimePoint Now) const {
    return LostAt_ && Now > *LostAt_ + OutdatedAfter;
  }
  /// The reason, or NotReady if a newer configuration may not have it.
  RefusalReason confirmedReason(RefusalReason Reason, TimePoint Now) const {
    return isOutdated(Now) ? RefusalReason::NotReady : Reason;
  }

private:
  bool HasEverBeenConfirmed_ = false;
  /// None before the first confirmation.
  std::optional<TimePoint> LostAt_;
};

} // namespace jaybridge
