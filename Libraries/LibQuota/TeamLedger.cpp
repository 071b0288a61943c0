#include <LibQuota/TeamLedger.h>

#include <algorithm>

namespace jaybridge {

void TeamLedger::record(Lot Granted) {
  expire(Granted.GrantedAt_);
  Outstanding_ += Granted.Tokens_;
  Uses_[Granted.Holder_].record(Granted.Tokens_, Granted.GrantedAt_);
  Lots_.push_back(std::move(Granted));
}

std::optional<TeamLedger::Lot> TeamLedger::takeBack(const MemberId &Holder,
                                                    const TokenReturn &Return,
                                                    TimePoint Now) {
  expire(Now);
  for (Lot &Granted : Lots_) {
    if (Granted.Holder_ != Holder || Granted.Round_ != Return.Round_ ||
        Granted.Tokens_ <= RequestTokens{})
      continue;
    Lot Returned = Granted;
    Returned.Tokens_ = std::clamp(Return.Tokens_, {}, Granted.Tokens_);
    Granted.Tokens_ -= Returned.Tokens_;
    Outstanding_ -= Returned.Tokens_;
    Uses_[Holder].record(RequestTokens{} - Returned.Tokens_, Now);
    return Returned;
  }
  return std::nullopt;
}

RequestTokens TeamLedger::outstanding(TimePoint Now) {
  expire(Now);
  return Outstanding_;
}

void TeamLedger::expire(TimePoint Now) {
  while (!Lots_.empty() && Now > Lots_.front().GrantedAt_ + TokenLifetime) {
    Outstanding_ -= Lots_.front().Tokens_;
    Lots_.pop_front();
  }
}

void TeamLedger::startReservation(const MemberId &Holder,
                                  TimePoint LastHeardAt) {
  const auto Use = Uses_.find(Holder);
  if (Use == Uses_.end())
    return;
  if (const RequestRate Rate = Use->second.rate(LastHeardAt);
      Rate > RequestRate{})
    Reserved_[Holder] = {Rate, LastHeardAt,
                         LastHeardAt + TokenReservationDuration};
  Uses_.erase(Use);
}

RequestTokens TeamLedger::takeReserved(TimePoint Now) {
  RequestTokens Sum;
  for (auto Entry = Reserved_.begin(); Entry != Reserved_.end();) {
    Reservation &Held = Entry->second;
    const TimePoint Until = std::min(Now, Held.Until_);
    Sum += RequestTokens(
        Held.Rate_.value() *
        std::chrono::duration<double>(Until - Held.CountedUntil_).count());
    Held.CountedUntil_ = Until;
    Entry = Now >= Held.Until_ ? Reserved_.erase(Entry) : std::next(Entry);
  }
  return Sum;
}

bool TeamLedger::isIdle(TimePoint Now) {
  expire(Now);
  std::erase_if(Uses_, [&](const auto &Use) {
    return Use.second.total(Now) <= RequestTokens{};
  });
  return Lots_.empty() && Uses_.empty() && Reserved_.empty();
}

} // namespace jaybridge
