#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibRegistry/ServiceRegistry.h>

#include <concepts>
#include <string>

namespace jaybridge {

/// Text of commands and snapshots in the replicated log.
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
  /// Healthy instances of a service that suspicion must leave in use.
  Percentage Floor_ = Percentage(70);
  /// How often subscribers hear that they are up to date. Several intervals
  /// fit into the time after which a gateway looks for another member.
  Duration CurrentInterval_ = 400ms;
  /// A gateway that asked longer ago has found another member.
  Duration EarlyLifetime_ = 1s;
  /// The shortest time between announcements when suspicions arise.
  Duration HasteInterval_ = 100ms;
  /// How often followers report to the leader without a failure to tell.
  Duration ReportInterval_ = 1s;
};

} // namespace jaybridge
