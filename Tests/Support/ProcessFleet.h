#pragma once

#include <Support/ChildProcess.h>

#include <LibCore/Endpoint.h>

#include <map>
#include <string>
#include <vector>

namespace jaybridge {

/// Listener addresses of a daemon.
struct DaemonAddresses {
  Endpoint Callers_;
  Endpoint Announcements_;
  Endpoint Operators_;
  Endpoint Peers_;
};

/// Settings of a daemon of a ProcessFleet.
struct DaemonOptions {
  std::string Id_;
  std::string Domain_;
  /// Loopback address that represents the VM, such as 127.1.0.1.
  std::string Address_;
  bool HasDataFolder_ = false;
  std::vector<std::string> ExtraFlags_{};
};

/// Settings of a fake upstream of a ProcessFleet.
struct UpstreamOptions {
  std::string Instance_;
  std::string Service_;
  std::string Domain_;
  std::string Address_;
  std::vector<std::string> ExtraFlags_;
};

/// Daemons and fake upstreams as child processes. All their files are in one
/// temporary folder, which the destructor removes. The kernel assigns the
/// ports.
class ProcessFleet {
public:
  ProcessFleet();
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  /// Sets the ids of the control members, which every daemon gets as a setting.
  /// Call it before the first `startDaemon`.
  void setControlMembers(std::vector<std::string> Ids) {
    ControlMembers_ = std::move(Ids);
  }
  /// Starts a daemon and waits until it has written its listener addresses.
  /// Returns false when it has not within a minute.
  [[nodiscard]] bool startDaemon(const DaemonOptions &Options);
  /// Starts a fake upstream that announces itself to the daemons started so
  /// far.
  void startUpstream(const UpstreamOptions &Options);

  ChildProcess &daemon(const std::string &Id) { return Daemons_.at(Id); }
  ChildProcess &upstream(const std::string &Id) { return Upstreams_.at(Id); }
  const DaemonAddresses &addressesOf(const std::string &Id) const {
    return Addresses_.at(Id);
  }
  /// Listener address that a fake upstream printed at its start.
  Result<Endpoint> upstreamAddress(const std::string &Instance) const;

  /// Runs the operator's tool. Returns its exit code and its output.
  std::pair<int, std::string>
  runTool(const std::vector<std::string> &Arguments);
  /// Polls the condition until it holds. Returns false after a minute.
  template <typename Condition> static bool waitUntil(Condition Holds) {
    constexpr int MaxAttempts = 600;
    constexpr int PollIntervalMicroseconds = 100'000;
    for (int I = 0; I < MaxAttempts; ++I) {
      if (Holds())
        return true;
      ::usleep(PollIntervalMicroseconds);
    }
    return false;
  }

  const std::string &folder() const { return Folder_; }
  std::string logPath(const std::string &Id) const {
    return Folder_ + "/" + Id + ".log";
  }

private:
  /// Addresses of one kind of all daemons, separated by commas.
  std::string joinAddresses(Endpoint DaemonAddresses::*Listener) const;

  std::string Folder_;
  std::vector<std::string> ControlMembers_;
  std::map<std::string, DaemonAddresses> Addresses_;
  std::map<std::string, ChildProcess> Daemons_;
  std::map<std::string, ChildProcess> Upstreams_;
};

} // namespace jaybridge
