#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <set>

namespace jaybridge {

/// One dispatch whose end was not reported yet.
struct LiveAttempt {
  RequestId Request_;
  ServiceName Service_;
  InstanceId Instance_;
  Fingerprint Fingerprint_;
  /// When to stop waiting for a report of its end.
  TimePoint ExpiresAt_;
};

/// The attempts whose end was not reported yet. An attempt is found under its
/// own id alone, so a late answer cannot reach another request.
class AttemptTable {
public:
  AttemptId add(LiveAttempt Started) {
    Last_ = Last_.next();
    Expiries_.emplace(Started.ExpiresAt_, Last_);
    Attempts_.emplace(Last_, std::move(Started));
    return Last_;
  }

  /// Removes the attempt; none when it is unknown or was taken before.
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
  /// The attempt that expires first; there must be one.
  AttemptId firstToExpire() const { return Expiries_.begin()->second; }
  bool isEmpty() const { return Attempts_.empty(); }

private:
  AttemptId Last_;
  std::map<AttemptId, LiveAttempt> Attempts_;
  std::set<std::pair<TimePoint, AttemptId>> Expiries_;
};

} // namespace jaybridge
