#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// One dispatch of a request whose end has not been reported.
struct LiveAttempt {
  RequestId Request_;
  ServiceName Service_;
  RouteName Route_;
  InstanceId Instance_;
  Fingerprint Fingerprint_;
  /// When the attempt becomes overdue; none if that is not known, or once it
  /// has been.
  std::optional<TimePoint> OverdueAt_;
  bool WasOverdue_ = false;
  /// When the gateway stops waiting for the report and ends the attempt itself.
  TimePoint ExpiresAt_{};
};

/// The attempts whose end has not been reported. They are looked up by attempt
/// id only, so a late response cannot be delivered to another request.
class AttemptTable {
public:
  AttemptId add(LiveAttempt Attempt) {
    LastId_ = LastId_.next();
    if (Attempt.OverdueAt_)
      OverdueTimes_.emplace(*Attempt.OverdueAt_, LastId_);
    Expiries_.emplace(Attempt.ExpiresAt_, LastId_);
    Attempts_.emplace(LastId_, std::move(Attempt));
    return LastId_;
  }

  /// Removes and returns the attempt; none when the id is unknown or was
  /// removed before.
  std::optional<LiveAttempt> take(AttemptId Id) {
    auto Found = Attempts_.find(Id);
    if (Found == Attempts_.end())
      return std::nullopt;
    LiveAttempt Taken = std::move(Found->second);
    Expiries_.erase({Taken.ExpiresAt_, Id});
    if (Taken.OverdueAt_)
      OverdueTimes_.erase({*Taken.OverdueAt_, Id});
    Attempts_.erase(Found);
    return Taken;
  }

  /// Marks the next attempt that has become overdue and returns it; null when
  /// there is none. The pointer is valid until the table changes.
  const LiveAttempt *takeOverdue(TimePoint Now) {
    if (OverdueTimes_.empty() || OverdueTimes_.begin()->first > Now)
      return nullptr;
    LiveAttempt &Overdue = Attempts_.at(OverdueTimes_.begin()->second);
    OverdueTimes_.erase(OverdueTimes_.begin());
    Overdue.OverdueAt_.reset();
    Overdue.WasOverdue_ = true;
    return &Overdue;
  }
  std::optional<TimePoint> nextOverdue() const {
    if (OverdueTimes_.empty())
      return std::nullopt;
    return OverdueTimes_.begin()->first;
  }

  std::optional<TimePoint> nextExpiry() const {
    if (Expiries_.empty())
      return std::nullopt;
    return Expiries_.begin()->first;
  }
  /// The attempt that expires first. Precondition: the table is not empty.
  AttemptId firstToExpire() const { return Expiries_.begin()->second; }
  bool isEmpty() const { return Attempts_.empty(); }

private:
  AttemptId LastId_;
  std::map<AttemptId, LiveAttempt> Attempts_;
  std::set<std::pair<TimePoint, AttemptId>> Expiries_;
  std::set<std::pair<TimePoint, AttemptId>> OverdueTimes_;
};

} // namespace jaybridge
