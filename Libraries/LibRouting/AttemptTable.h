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
  InstanceId Instance_;
  Fingerprint Fingerprint_;
  /// When the gateway stops waiting for the report and ends the attempt itself.
  TimePoint ExpiresAt_;
};

/// The attempts whose end has not been reported. They are looked up by attempt
/// id only, so a late response cannot be delivered to another request.
class AttemptTable {
public:
  AttemptId add(LiveAttempt Attempt) {
    LastId_ = LastId_.next();
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
    Attempts_.erase(Found);
    return Taken;
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
};

} // namespace jaybridge
