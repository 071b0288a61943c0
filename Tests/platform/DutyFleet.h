#pragma once

#include "StandInInstance.h"

#include <Support/ChildProcess.h>
#include <Support/LoadClient.h>

#include <LibCore/Quantity.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace jaybridge {

/// Three control members and some gateways as child processes, with instances
/// of the service "service" inside the test. All files are in one temporary
/// folder. The kernel assigns the ports.
///
/// The configuration has the routes "/safe/", "/unsafe/", "/long/" and
/// "/patient/" of the host "h.example". "/long/" is safe and "/patient/" is
/// not; both have a patience of 15 s.
class DutyFleet {
public:
  static constexpr std::size_t MemberCount = 3;

  /// Extra flags are passed to each gateway and override the fleet's own.
  explicit DutyFleet(std::size_t GatewayCount,
                     std::vector<std::string> ExtraGatewayFlags = {});
  ~DutyFleet();
  DutyFleet(const DutyFleet &) = delete;
  DutyFleet &operator=(const DutyFleet &) = delete;

  /// Starts all processes and waits until they serve the configuration. False
  /// when they have not within a minute.
  [[nodiscard]] bool start();
  void addInstances(std::size_t Count, StandInInstance::Behaviour Respond);
  StandInInstance &instance(std::size_t Index) { return *Instances_[Index]; }
  /// Waits until each gateway gets a request to Path answered with 200.
  [[nodiscard]] bool waitUntilServing(const std::string &Path);

  /// A request to a gateway. Each call gives it a new id.
  LoadRequest request(std::size_t Gateway, const std::string &Method,
                      const std::string &Path);
  LoadResponse send(std::size_t Gateway, const std::string &Method,
                    const std::string &Path);
  /// Asks the gateway to explain the routing of a request.
  LoadResponse explain(std::size_t Gateway, const std::string &Query);
  /// Sends an entry of the list of instances to control members until one
  /// answers finally. Returns the status.
  unsigned announce(const std::string &Id, const std::string &Body);

  /// Sends a signal to the process of a gateway.
  void signalGateway(std::size_t Gateway, int Signal) {
    Gateways_[Gateway].send(Signal);
  }
  /// Waits until the process of a gateway has ended by itself.
  [[nodiscard]] bool waitUntilGatewayEnds(std::size_t Gateway) const;
  /// Calls the HTTP interface of a control member.
  LoadResponse callControl(std::size_t Member, const std::string &Method,
                           const std::string &Path, const std::string &Body);
  /// Processes that have ended by themselves.
  std::size_t endedProcesses() const;
  const ChildProcess &gateway(std::size_t Index) const {
    return Gateways_[Index];
  }
  const ChildProcess &controlMember(std::size_t Index) const {
    return Members_[Index];
  }
  /// Peak memory of a process.
  static ByteCount peakMemoryOf(const ChildProcess &Process);
  /// Number of file descriptors that a process has open.
  static std::size_t openDescriptorsOf(const ChildProcess &Process);
  Endpoint callerEndpointOf(std::size_t Gateway) const;
  Endpoint statusEndpointOf(std::size_t Gateway) const;
  Endpoint controlEndpointOf(std::size_t Member) const;

private:
  static std::string memberName(std::size_t Index) {
    return "member-" + std::to_string(Index);
  }
  static std::string gatewayName(std::size_t Index) {
    return "gateway-" + std::to_string(Index);
  }
  void startControlMember(std::size_t Index);
  void startGateway(std::size_t Index);
  bool writeConfiguration();
  std::string memberAddress(std::size_t Index) const;
  std::string gatewayAddress(std::size_t Index) const;
  std::string seeds() const;

  std::string Folder_;
  Port PeerPort_;
  Port ControlPort_;
  Port CallerPort_;
  Port StatusPort_;
  std::size_t GatewayCount_;
  std::vector<std::string> ExtraGatewayFlags_;
  std::atomic<unsigned> LastRequest_ = 0;
  std::vector<ChildProcess> Members_;
  std::vector<ChildProcess> Gateways_;
  std::vector<std::unique_ptr<StandInInstance>> Instances_;
};

} // namespace jaybridge
