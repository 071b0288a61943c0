#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <map>

namespace jaybridge {

/// The requests that a gateway got answered lately. They end no instance that
/// runs them, so that the gateway can object when one of them is suspected.
class RecentAnswers {
public:
  /// A later version of the instances may fail on what an earlier one answered.
  static constexpr Duration Retention = 60s;
  static constexpr std::size_t MaxRequests = 4096;

  void add(Fingerprint Request, TimePoint Now);
  bool contains(Fingerprint Request, TimePoint Now) const;

private:
  /// Removes the requests whose last answer is older than Retention, and the
  /// oldest ones above MaxRequests.
  void expire(TimePoint Now);

  struct Entry {
    Fingerprint Request_;
    TimePoint AddedAt_;
  };
  std::map<Fingerprint, TimePoint> LastAnswers_;
  /// One entry for each request, in order of time.
  std::deque<Entry> Order_;
};

} // namespace jaybridge
