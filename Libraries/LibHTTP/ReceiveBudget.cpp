#include <LibHTTP/ReceiveBudget.h>

#include <algorithm>

namespace jaybridge {

namespace {

constexpr ByteCount MaxReserve(1024UL * 1024);
constexpr ByteCount MaxSmallRequest(64UL * 1024);
constexpr ByteCount MaxSendLimit(24UL * 1024 * 1024);
/// A caller that accepts nothing for this time while memory is short is not
/// expected to read its response.
constexpr Duration MinSendStall = 10s;
constexpr int UrgentStallDivisor = 10;

} // namespace

ReceiveBudget::ReceiveBudget(ReceiveBudgetSettings Settings)
    : Settings_(Settings) {}

ReceiveBudget ReceiveBudget::forReceiving(ByteCount Limit) {
  return ReceiveBudget({Limit,
                        std::min(MaxReserve, ByteCount(Limit.value() / 8)),
                        MaxSmallRequest, Duration::zero()});
}

ReceiveBudget ReceiveBudget::forSending(ByteCount ReceiveLimit) {
  return ReceiveBudget(
      {std::min(MaxSendLimit, ByteCount(ReceiveLimit.value() / 4)), ByteCount(),
       ByteCount(), MinSendStall});
}

void ReceiveBudget::hold(ConnectionId Id, HeldBytes Held, TimePoint Now) {
  auto [Found, IsNew] = Holders_.try_emplace(Id, Holder{{}, Now});
  Holder &Changed = Found->second;
  updateTotals(Changed.Held_, Held);
  if (Held.Incomplete_ > Changed.Held_.Incomplete_)
    Changed.LastProgress_ = Now;
  Changed.Held_ = Held;
}

void ReceiveBudget::recordProgress(ConnectionId Id, TimePoint Now) {
  if (auto Found = Holders_.find(Id); Found != Holders_.end())
    Found->second.LastProgress_ = Now;
}

void ReceiveBudget::release(ConnectionId Id) {
  auto Found = Holders_.find(Id);
  if (Found == Holders_.end())
    return;
  updateTotals(Found->second.Held_, {});
  Holders_.erase(Found);
}

bool ReceiveBudget::admits(ByteCount AnnouncedLength) const {
  const ByteCount Usable = AnnouncedLength <= Settings_.SmallHolder_
                               ? Settings_.Limit_
                               : Settings_.Limit_ - Settings_.Reserve_;
  return Complete_ + AnnouncedLength <= Usable;
}

bool ReceiveBudget::isExceededBy(ConnectionId Growing) const {
  auto Found = Holders_.find(Growing);
  const bool HasReserve = Found == Holders_.end() || isSmall(Found->second);
  return Total_ > (HasReserve ? Settings_.Limit_
                              : Settings_.Limit_ - Settings_.Reserve_);
}

std::optional<ConnectionId> ReceiveBudget::nextCutOff(ConnectionId Growing,
                                                      TimePoint Now) const {
  if (!isExceededBy(Growing))
    return std::nullopt;
  // Bytes beyond twice the limit would end the process before they stall for
  // the regular time.
  const bool IsUrgent = Total_ > Settings_.Limit_ + Settings_.Limit_;
  const Duration MinStall =
      IsUrgent ? Settings_.MinStall_ / UrgentStallDivisor : Settings_.MinStall_;
  std::optional<ConnectionId> Chosen;
  double HighestCost = 0;
  for (const auto &[Id, Candidate] : Holders_) {
    const Duration Stalled = Now - Candidate.LastProgress_;
    if (Candidate.Held_.Incomplete_ == ByteCount() || Stalled < MinStall)
      continue;
    const double Cost =
        static_cast<double>(Candidate.Held_.Incomplete_.value()) *
        static_cast<double>(std::max<Duration>(Stalled, 1ms).count());
    if (Cost > HighestCost) {
      HighestCost = Cost;
      Chosen = Id;
    }
  }
  return Chosen;
}

void ReceiveBudget::updateTotals(HeldBytes Before, HeldBytes After) {
  Total_ += totalOf(After);
  Total_ -= totalOf(Before);
  Complete_ += After.Complete_;
  Complete_ -= Before.Complete_;
  const std::uint64_t Limit = Settings_.Limit_.value();
  IsShort_ = Total_.value() > (IsShort_ ? Limit / 2 : Limit / 4 * 3);
}

} // namespace jaybridge
