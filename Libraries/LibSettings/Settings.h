#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibLog/Log.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

using QueueLimit = Quantity<struct QueueLimitTag, std::uint32_t>;

/// Values by flag name, such as "member-id"; absent means the default.
using SettingsText = std::map<std::string, std::string>;

/// What a daemon is told at its start.
struct Settings {
  MemberId Member_;
  FailureDomain Domain_;
  Endpoint CallerAddress_;
  Endpoint AnnounceAddress_;
  Endpoint OperatorAddress_;
  Endpoint PeerAddress_;
  /// Where peers reach this daemon; PeerAddress_ unless given.
  Endpoint AdvertisedPeerAddress_;
  std::vector<Endpoint> Seeds_;
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
  static Result<Settings> create(const SettingsText &Text);
};

/// Reads flags, then `JAYBRIDGE_...` variables for flags that were not given.
/// --help, --version and unknown flags end the process. Called once, before
/// other threads exist.
Result<Settings> readSettings(int Count, char **Arguments);

/// "member-id" is read from `JAYBRIDGE_MEMBER_ID`.
std::string environmentNameOf(const std::string &Flag);

} // namespace jaybridge
