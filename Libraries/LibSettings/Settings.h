#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibLog/Log.h>
#include <LibUpstream/Placement.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// Maximum number of requests waiting in one queue.
using QueueLimit = Quantity<struct QueueLimitTag, std::uint32_t>;

/// Values by flag name, such as "member-id". A flag without a value has its
/// default.
using SettingValues = std::map<std::string, std::string>;

/// Duties of a daemon, chosen with --duty.
enum class DaemonDuty {
  /// Gateway and control member in one; instances are discovered by gossip.
  All,
  /// Serves callers and takes its configuration from the control members.
  Gateway,
  /// Stores the configuration and the registry of instances.
  Control,
};

/// Validated settings of a daemon, fixed at its start.
struct Settings {
  DaemonDuty Duty_ = DaemonDuty::All;
  MemberId Member_;
  FailureDomain Domain_;
  Endpoint CallerAddress_;
  Endpoint AnnounceAddress_;
  Endpoint OperatorAddress_;
  Endpoint PeerAddress_;
  /// Address announced to peers; defaults to PeerAddress_.
  Endpoint AdvertisedPeerAddress_;
  std::vector<Endpoint> Seeds_;
  /// Peer port of the seeds, if their addresses name another listener.
  std::optional<Port> SeedPeerPort_;
  /// Address at which a gateway serves readiness and metrics.
  Endpoint StatusAddress_;
  /// Whether the whole system starts for the first time.
  bool IsFirstStart_ = false;
  /// Whether operators, upstreams and peers are accepted without a token.
  bool HasOpenListeners_ = false;
  /// Time from the shutdown signal until the process is terminated by force.
  Duration ShutdownGracePeriod_{};
  /// Data folder; set for control members only.
  std::optional<std::string> DataFolder_;
  /// Ids of the control members; their addresses are learned from membership.
  std::vector<MemberId> ControlMembers_;
  std::string OperatorTokenFile_;
  std::string AnnounceTokenFile_;
  std::string PeerTokenFile_;
  ByteCount BodyLimit_;
  ByteCount AnswerLimit_;
  /// Bytes of all requests together that are not answered yet.
  ByteCount ReceiveLimit_;
  /// Most connections of callers; none if it follows from the limit of
  /// descriptors.
  std::optional<EventCount> CallerConnectionsLimit_;
  QueueLimit QueueLimit_;
  /// Retries of a service that the whole fleet may make in ten seconds beyond a
  /// share of its requests.
  EventCount RetryAllowance_;
  Placement Placement_ = Placement::Load;
  LogLevel LogLevel_ = LogLevel::Info;
  /// File to which the listening addresses are written, so that ports chosen by
  /// the kernel are known.
  std::optional<std::string> AddressFile_;
  /// Whether the process only checks the settings and exits.
  bool IsCheckOnly_ = false;

  /// Validates Values. Error messages name the flag, the value and the
  /// permitted range; `Field_` is the name of the flag.
  static Result<Settings> create(const SettingValues &Values);
};

/// Reads the flags, and the `JAYBRIDGE_...` environment variables of flags that
/// are not on the command line. --help, --version and unknown flags exit the
/// process. Must be called once, before other threads are started.
Result<Settings> readSettings(int ArgumentCount, char **Arguments);

/// Name of the environment variable for a flag, such as `JAYBRIDGE_MEMBER_ID`
/// for "member-id".
std::string environmentVariableName(const std::string &Flag);

} // namespace jaybridge
