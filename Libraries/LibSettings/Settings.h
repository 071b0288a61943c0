#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibLog/Log.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

using QueueLimit = Quantity<struct QueueLimitTag, std::uint32_t>;

/// Values by flag name, such as "member-id"; absent means the default.
using SettingValues = std::map<std::string, std::string>;

/// Which of the system's duties a daemon has.
enum class DaemonDuty {
  /// Each duty; the fleet finds its instances by gossip.
  All,
  /// Serves callers and follows the control members.
  Gateway,
  /// Holds the configuration and the registry of instances.
  Control,
};

/// What a daemon is told at its start.
struct Settings {
  DaemonDuty Duty_ = DaemonDuty::All;
  MemberId Member_;
  FailureDomain Domain_;
  Endpoint CallerAddress_;
  Endpoint AnnounceAddress_;
  Endpoint OperatorAddress_;
  Endpoint PeerAddress_;
  /// Where peers reach this daemon; PeerAddress_ unless given.
  Endpoint AdvertisedPeerAddress_;
  std::vector<Endpoint> Seeds_;
  /// The peers' port at the seeds, when they name another listener's.
  std::optional<Port> SeedPeerPort_;
  /// Readiness and metrics of a gateway.
  Endpoint StatusAddress_;
  /// Whether the whole system starts for the first time.
  bool IsFirstStart_ = false;
  /// Whether operators, upstreams and peers need no token.
  bool HasOpenListeners_ = false;
  /// From the request to stop until the process is ended by force.
  Duration ShutdownGracePeriod_{};
  /// Set for control members.
  std::optional<std::string> DataFolder_;
  /// Their addresses are learnt from the fleet.
  std::vector<MemberId> ControlMembers_;
  std::string OperatorTokenFile_;
  std::string AnnounceTokenFile_;
  std::string PeerTokenFile_;
  ByteCount BodyLimit_;
  ByteCount AnswerLimit_;
  QueueLimit QueueLimit_;
  LogLevel LogLevel_ = LogLevel::Info;
  /// Where to write the addresses in use, for ports that the kernel chose.
  std::optional<std::string> AddressFile_;
  /// The process checks the settings and ends.
  bool IsCheckOnly_ = false;

  /// Errors name the flag, the value and the permitted range; `Field_` is the
  /// flag's name.
  static Result<Settings> create(const SettingValues &Text);
};

/// Reads flags, then `JAYBRIDGE_...` variables for flags that were not given.
/// --help, --version and unknown flags end the process. Called once, before
/// other threads exist.
Result<Settings> readSettings(int Count, char **Arguments);

/// "member-id" is read from `JAYBRIDGE_MEMBER_ID`.
std::string environmentVariableName(const std::string &Flag);

} // namespace jaybridge
