#pragma once

#include <Support/ChildProcess.h>

#include <LibCore/Endpoint.h>

#include <map>
#include <string>
#include <vector>

namespace jaybridge {

/// The addresses that a daemon listens on.
struct DaemonAddresses {
  Endpoint Callers_;
  Endpoint Announcements_;
  Endpoint Operators_;
  Endpoint Peers_;
};

struct DaemonOptions {
  std::string Id_;
  std::string Domain_;
  /// Loopback address that stands for the VM, such as 127.1.0.1.
  std::string Address_;
  bool HasDataFolder_ = false;
};

struct UpstreamOptions {
  std::string Instance_;
  std::string Service_;
  std::string Domain_;
  std::string Address_;
  std::vector<std::string> ExtraFlags_;
};

/// Daemons and fake upstreams in processes of their own, with all files in one
/// temporary folder. Ports are taken from the kernel.
class ProcessFleet {
public:
  ProcessFleet();
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  /// The control members, known to every daemon. Set before the first start.
  void setControlMembers(std::vector<std::string> Ids) {
    ControlMembers_ = std::move(Ids);
  }
  /// Starts a daemon and waits until it listens. False when it ended instead.
  [[nodiscard]] bool startDaemon(const DaemonOptions &Plan);
  /// Starts an upstream that announces itself to all daemons started so far.
  void startUpstream(const UpstreamOptions &Plan);

  ChildProcess &daemon(const std::string &Id) { return Daemons_.at(Id); }
  ChildProcess &upstream(const std::string &Id) { return Upstreams_.at(Id); }
  const DaemonAddresses &addressesOf(const std::string &Id) const {
    return Addresses_.at(Id);
  }
  /// What an upstream said about its own address.
  Result<Endpoint> upstreamAddress(const std::string &Instance) const;

  /// Runs the operator's tool; its exit code and output.
  std::pair<int, std::string> runTool(const std::vector<std::string> &Words);
  /// Repeats the call until it returns true, for at most a minute.
  template <typename Condition> static bool waitUntil(Condition Holds) {
    constexpr int Attempts = 600;
    constexpr int PauseMicroseconds = 100'000;
    for (int I = 0; I < Attempts; ++I) {
      if (Holds())
        return true;
      ::usleep(PauseMicroseconds);
    }
    return false;
  }

  const std::string &folder() const { return Folder_; }
  std::string logOf(const std::string &Id) const {
    return Folder_ + "/" + Id + ".log";
  }

private:
  std::string joined(Endpoint DaemonAddresses::*Which) const;

  std::string Folder_;
  std::vector<std::string> ControlMembers_;
  std::map<std::string, DaemonAddresses> Addresses_;
  std::map<std::string, ChildProcess> Daemons_;
  std::map<std::string, ChildProcess> Upstreams_;
};

} // namespace jaybridge
