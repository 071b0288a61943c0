#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

/// The longest of the durations recorded within the last one to two windows.
class LongestRecent {
public:
  static constexpr Duration Window = 20s;

  void record(Duration Elapsed, TimePoint Now) {
    if (Now >= WindowEndsAt_) {
      // After a pause of a whole window nothing recent is left.
      Previous_ = Now >= WindowEndsAt_ + Window ? std::nullopt : Current_;
      Current_.reset();
      WindowEndsAt_ = Now + Window;
    }
    Current_ = std::max(Current_.value_or(Elapsed), Elapsed);
  }
  /// None when nothing has been recorded recently.
  std::optional<Duration> value() const {
    return std::max(Previous_, Current_);
  }

private:
  std::optional<Duration> Previous_;
  std::optional<Duration> Current_;
  TimePoint WindowEndsAt_{};
};

} // namespace jaybridge
