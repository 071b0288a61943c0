#pragma once

#include "Sockets.hh"

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace review {

/// A process of the project, which is killed and reaped when the object ends.
class Process {
public:
  Process() = default;
  Process(const std::vector<std::string> &Words, const std::string &LogFile);
  ~Process() { kill(); }
  Process(Process &&Other) noexcept : Id_(Other.Id_) { Other.Id_ = -1; }
  Process &operator=(Process &&Other) noexcept {
    std::swap(Id_, Other.Id_);
    return *this;
  }

  bool isRunning();
  void signal(int Number) const;
  /// SIGKILL, and waits for the end.
  void kill();
  /// SIGTERM, and SIGKILL after the grace time.
  void terminate(double GraceSeconds);
  /// Resident memory in bytes; 0 when the process has ended.
  std::size_t memory() const;

private:
  pid_t Id_ = -1;
};

struct FleetSettings {
  std::size_t ControlMembers_ = 3;
  std::size_t Gateways_ = 1;
  int MemoryMb_ = 260;
};

/// The system as a small deployment: each machine is a loopback address with
/// the same ports. Starts the programs with the commands of the deploy file,
/// whose settings file is rendered from the templates of the project.
class Fleet {
public:
  static constexpr double GraceS = 6;

  explicit Fleet(FleetSettings Settings);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts a control member. Machines beyond the first ones join later.
  void startControl(std::size_t Index, bool IsBootstrap);
  void startGateway(std::size_t Index);
  /// Starts all machines of the settings as at the first start of the system.
  void startAll();
  /// Empties the disk of a control member that has ended.
  void wipe(std::size_t Index) const;

  Process &control(std::size_t Index) { return Controls_[Index]; }
  Process &gateway(std::size_t Index) { return Gateways_[Index]; }
  Address controlAddress(std::size_t Index) const;
  Address frontAddress(std::size_t Index) const;
  Address readinessAddress(std::size_t Index) const;
  static std::string zone(std::size_t Index);
  /// The control members that the operator and the instances may call.
  std::vector<Address> callable() const;
  /// Takes a machine off the list of callable ones.
  void removeFromList(std::size_t Index) { Controls_.erase(Index); }
  const std::string &folder() const { return Folder_; }
  /// An address for an instance, with a free port.
  Address nextInstanceAddress();
  /// Changes the seeds that processes are told from now on.
  void setSeeds(std::vector<std::size_t> Members) {
    Seeds_ = std::move(Members);
  }

private:
  std::string render(const std::string &Template,
                     const std::map<std::string, std::string> &Values) const;
  std::vector<std::string> commandOf(const std::string &Role,
                                     const std::string &File) const;
  std::map<std::string, std::string> commonValues(const std::string &Name,
                                                  const std::string &Ip,
                                                  std::size_t Index) const;

  FleetSettings Settings_;
  std::string Folder_;
  int PeerPort_;
  int ControlPort_;
  int FrontPort_;
  int ReadinessPort_;
  int Instances_ = 0;
  std::vector<std::size_t> Seeds_;
  std::map<std::size_t, Process> Controls_;
  std::map<std::size_t, Process> Gateways_;
};

/// The platform's operator: it picks among the machines of its list, follows
/// redirects twice and moves on after a failure.
class Operator {
public:
  explicit Operator(Fleet &System) : System_(System) {}

  /// Sends the configuration until it has a clear response or the time is over.
  /// Returns the status; 0 when there was no clear response.
  int put(const std::string &Configuration, double Seconds);
  /// Reads the configuration. Returns the status of the last response, and its
  /// body when that was 200.
  int get(double Seconds, std::string &Body);

private:
  Reply callOnce(const std::string &Method, const std::string &Body);

  Fleet &System_;
  std::size_t Next_ = 0;
};

struct RouteLine {
  std::string Name_;
  std::string Kind_;
  int TimeoutMs_ = 3000;
  std::string Service_;
};

/// A configuration of the host "h.example"; the route NAME has the prefix
/// "/NAME/".
std::string configuration(int Version, const std::vector<RouteLine> &Routes);

/// Waits until all gateways say that they are ready. False after 20 s.
bool waitUntilReady(const Fleet &System, std::size_t Gateways);

} // namespace review
