#pragma once

#include <LibRegistry/ControlSettings.h>

#include <algorithm>

namespace jaybridge {

/// Times of the regular messages of a control member: heartbeats to
/// subscribers, reports to the leader and updates of the leader to its
/// followers. Changes are sent ahead of the regular times; those in quick
/// succession are sent together.
class NotificationSchedule {
public:
  explicit NotificationSchedule(const ControlSettings &Settings)
      : HeartbeatInterval_(Settings.HeartbeatInterval_),
        MinNotificationInterval_(Settings.MinNotificationInterval_),
        ReportInterval_(Settings.ReportInterval_),
        MinReportInterval_(Settings.MinReportInterval_) {}

  bool isHeartbeatDue(TimePoint Now) const { return Now >= NextHeartbeat_; }
  bool isReportDue(TimePoint Now) const { return Now >= NextReport_; }
  bool isLeaderUpdateDue(TimePoint Now) const {
    return Now >= NextLeaderUpdate_;
  }
  TimePoint nextDeadline(bool IsLeader) const {
    const TimePoint Next = std::min(NextHeartbeat_, NextReport_);
    return IsLeader ? std::min(Next, NextLeaderUpdate_) : Next;
  }

  void recordHeartbeat(TimePoint Now) {
    NextHeartbeat_ = Now + HeartbeatInterval_;
    LastHeartbeatAt_ = Now;
  }
  void recordReport(TimePoint Now) {
    NextReport_ = Now + ReportInterval_;
    LastReportAt_ = Now;
  }
  void recordLeaderUpdate(TimePoint Now) {
    NextLeaderUpdate_ = Now + ReportInterval_;
    LastLeaderUpdateAt_ = Now;
  }

  void advanceHeartbeat(TimePoint Now) {
    NextHeartbeat_ =
        std::min(NextHeartbeat_,
                 std::max(Now, LastHeartbeatAt_ + MinNotificationInterval_));
  }
  void advanceLeaderUpdate(TimePoint Now) {
    NextLeaderUpdate_ =
        std::min(NextLeaderUpdate_,
                 std::max(Now, LastLeaderUpdateAt_ + MinNotificationInterval_));
  }
  /// Returns whether a report is due now; otherwise it is sent as soon as the
  /// minimum interval permits. The work of the leader's decisions grows with
  /// the number of instances and would hold up changes.
  bool advanceReport(bool IsLeader, TimePoint Now) {
    const TimePoint Earliest =
        LastReportAt_ +
        (IsLeader ? MinNotificationInterval_ : MinReportInterval_);
    if (Now >= Earliest)
      return true;
    NextReport_ = std::min(NextReport_, Earliest);
    return false;
  }
  /// Returns whether the leader may be asked for its lists now: twice in a
  /// report interval at most.
  bool tryRequestLists(TimePoint Now) {
    if (Now < NextListRequest_)
      return false;
    NextListRequest_ = Now + ReportInterval_ / 2;
    return true;
  }

private:
  Duration HeartbeatInterval_;
  Duration MinNotificationInterval_;
  Duration ReportInterval_;
  Duration MinReportInterval_;
  TimePoint NextHeartbeat_{};
  TimePoint LastHeartbeatAt_{};
  TimePoint NextReport_{};
  TimePoint LastReportAt_{};
  TimePoint NextLeaderUpdate_{};
  TimePoint LastLeaderUpdateAt_{};
  TimePoint NextListRequest_{};
};

} // namespace jaybridge
