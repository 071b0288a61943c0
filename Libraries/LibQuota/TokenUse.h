#pragma once

#include <LibQuota/TokenMessages.h>

#include <array>
#include <optional>

namespace jaybridge {

/// Tokens that were used in the last TokenUseWindow.
class TokenUse {
public:
  void record(RequestTokens Tokens, TimePoint Now);
  RequestTokens total(TimePoint Now) const;
  /// Mean over the window.
  RequestRate rate(TimePoint Now) const;
  /// Time that total() covers: the window or, if that is shorter, the time
  /// since the first use; one second at least.
  Duration age(TimePoint Now) const;

private:
  static constexpr std::size_t SlotCount = 10;
  static constexpr Duration SlotLength = TokenUseWindow / SlotCount;
  static std::int64_t slotAt(TimePoint Now) {
    return Now.time_since_epoch() / SlotLength;
  }

  std::array<RequestTokens, SlotCount> Slots_{};
  std::int64_t LastSlot_ = 0;
  std::optional<TimePoint> FirstUseAt_;
};

} // namespace jaybridge
