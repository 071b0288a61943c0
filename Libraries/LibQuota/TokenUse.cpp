#include <LibQuota/TokenUse.h>

#include <algorithm>

namespace jaybridge {

void TokenUse::record(RequestTokens Tokens, TimePoint Now) {
  if (!FirstUseAt_)
    FirstUseAt_ = Now;
  const std::int64_t Slot = slotAt(Now);
  if (Slot - LastSlot_ >= static_cast<std::int64_t>(SlotCount))
    Slots_.fill({});
  else
    for (std::int64_t Old = LastSlot_ + 1; Old <= Slot; ++Old)
      Slots_[static_cast<std::size_t>(Old) % SlotCount] = {};
  LastSlot_ = std::max(LastSlot_, Slot);
  RequestTokens &Current = Slots_[static_cast<std::size_t>(Slot) % SlotCount];
  Current = std::max(Current + Tokens, RequestTokens{});
}

RequestTokens TokenUse::total(TimePoint Now) const {
  RequestTokens Sum;
  const std::int64_t Slot = slotAt(Now);
  const std::int64_t First = std::max<std::int64_t>(
      Slot - static_cast<std::int64_t>(SlotCount) + 1, 0);
  for (std::int64_t Old = First; Old <= LastSlot_; ++Old)
    Sum += Slots_[static_cast<std::size_t>(Old) % SlotCount];
  return Sum;
}

RequestRate TokenUse::rate(TimePoint Now) const {
  return RequestRate(total(Now).value() /
                     std::chrono::duration<double>(TokenUseWindow).count());
}

Duration TokenUse::age(TimePoint Now) const {
  constexpr Duration MinAge = 1s;
  return std::clamp(Now - FirstUseAt_.value_or(Now), MinAge, TokenUseWindow);
}

} // namespace jaybridge
