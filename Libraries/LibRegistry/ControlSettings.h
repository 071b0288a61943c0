#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibQuota/TokenMessages.h>
#include <LibRegistry/ServiceRegistry.h>

#include <concepts>
#include <string>

namespace jaybridge {

/// Encodes and decodes the commands and snapshots of the replicated log.
template <typename Codec>
concept RegistryEncoding = requires(const RegistryCommand &Command,
                                    const RegistryState &State,
                                    const std::string &Text) {
  { Codec::encodeCommand(Command) } -> std::same_as<std::string>;
  { Codec::decodeCommand(Text) } -> std::same_as<Result<RegistryCommand>>;
  { Codec::encodeState(State) } -> std::same_as<std::string>;
  { Codec::decodeState(Text) } -> std::same_as<Result<RegistryState>>;
};

struct ControlSettings {
  MemberId Self_;
  FailureDomain Domain_;
  /// Share of a service's healthy instances that ejections leave in use.
  Percentage Floor_ = Percentage(70);
  /// Retries of a service that the fleet may make in ten seconds beyond a share
  /// of its requests.
  EventCount RetryAllowance_{60};
  /// Interval of heartbeats to subscribers. Several intervals fit into the time
  /// after which a gateway switches to another member.
  Duration HeartbeatInterval_ = 400ms;
  /// A gateway that subscribed longer ago than this, while this member was not
  /// current, has switched to another member.
  Duration PendingSubscriberTimeout_ = 1s;
  /// Minimum time between two heartbeats or leader updates when new ejections
  /// are sent ahead of the regular interval.
  Duration MinNotificationInterval_ = 100ms;
  /// Interval of reports from followers to the leader, and of updates from the
  /// leader to followers. Reports with failures are sent ahead of it.
  Duration ReportInterval_ = 1s;
  /// Minimum time between two reports to the leader when failures are reported
  /// ahead of the regular interval.
  Duration MinReportInterval_ = 50ms;
  /// Differs between starts of the process: the leader must not take tokens of
  /// an earlier start for those of this one.
  TokenRound FirstTokenRound_{};
};

} // namespace jaybridge
