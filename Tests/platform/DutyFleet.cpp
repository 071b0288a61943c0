#include "DutyFleet.h"

#include <LibCore/Verify.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <filesystem>
#include <fstream>

namespace jaybridge {

namespace {

constexpr const char *Domains[] = {"shah-alam", "petaling-jaya", "klang-utara"};
constexpr Duration SetupTimeout = 60s;

/// Ports that are free on all loopback addresses. All of them are bound until
/// each is known, so that they differ.
std::vector<Port> findFreePorts(std::size_t Count) {
  std::vector<int> Sockets;
  std::vector<Port> Ports;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    socklen_t Length = sizeof(Address);
    auto *SocketAddress = reinterpret_cast<sockaddr *>(&Address);
    JAYBRIDGE_VERIFY(::bind(Sockets.back(), SocketAddress, Length) == 0);
    ::getsockname(Sockets.back(), SocketAddress, &Length);
    Ports.emplace_back(ntohs(Address.sin_port));
  }
  for (int Socket : Sockets)
    ::close(Socket);
  return Ports;
}

std::string portText(Port Number) { return std::to_string(Number.value()); }

std::string routeText(const std::string &Name, const std::string &Kind,
                      unsigned TimeoutMs) {
  return "\"" + Name + R"(":{"Host":"h.example","PathPrefix":"/)" + Name +
         R"(/","Kind":")" + Kind + R"(","TimeoutS":)" +
         std::to_string(TimeoutMs) +
         R"(,"TargetLatencyS":1000,"Priority":1,"Service":"service",)"
         R"("MaxAttempts":2})";
}

template <typename Condition> bool waitFor(Condition Holds) {
  const auto End = std::chrono::steady_clock::now() + SetupTimeout;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(100ms);
  }
  return true;
}

} // namespace

DutyFleet::DutyFleet(std::size_t GatewayCount,
                     std::vector<std::string> ExtraGatewayFlags)
    : GatewayCount_(GatewayCount),
      ExtraGatewayFlags_(std::move(ExtraGatewayFlags)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "jaybridge-XXXXXX").string();
  JAYBRIDGE_VERIFY(::mkdtemp(Template.data()) != nullptr);
  Folder_ = Template;
  const std::vector<Port> Ports = findFreePorts(4);
  PeerPort_ = Ports[0];
  ControlPort_ = Ports[1];
  CallerPort_ = Ports[2];
  StatusPort_ = Ports[3];
}

DutyFleet::~DutyFleet() {
  Instances_.clear();
  Gateways_.clear();
  Members_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string DutyFleet::memberAddress(std::size_t Index) const {
  return "127.3." + std::to_string(Index + 1) + ".1";
}

std::string DutyFleet::gatewayAddress(std::size_t Index) const {
  return "127.3." + std::to_string(Index % MemberCount + 1) + "." +
         std::to_string(Index + 10);
}

std::string DutyFleet::seeds() const {
  std::string Text;
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    Text += (Index == 0 ? "" : ",") + memberAddress(Index) + ":" +
            portText(ControlPort_);
  return Text;
}

void DutyFleet::startControlMember(std::size_t Index) {
  const std::string Name = memberName(Index);
  Members_.emplace_back(
      JAYBRIDGED_PROGRAM,
      std::vector<std::string>{
          "--duty=control", "--member-id=" + Name,
          std::string("--failure-domain=") + Domains[Index],
          "--operator-address=" + memberAddress(Index) + ":" +
              portText(ControlPort_),
          "--peer-address=" + memberAddress(Index) + ":" + portText(PeerPort_),
          "--seeds=" + seeds(), "--seed-peer-port=" + portText(PeerPort_),
          "--data-folder=" + Folder_ + "/" + Name + ".data",
          "--first-start=true", "--open-listeners=true"},
      Folder_ + "/" + Name + ".log");
}

void DutyFleet::startGateway(std::size_t Index) {
  const std::string Name = gatewayName(Index);
  const std::string Address = gatewayAddress(Index);
  std::vector<std::string> Flags = {
      "--duty=gateway",
      "--member-id=" + Name,
      std::string("--failure-domain=") + Domains[Index % MemberCount],
      "--caller-address=" + Address + ":" + portText(CallerPort_),
      "--status-address=" + Address + ":" + portText(StatusPort_),
      "--peer-address=" + Address + ":" + portText(PeerPort_),
      "--seeds=" + seeds(),
      "--seed-peer-port=" + portText(PeerPort_),
      "--grace-ms=6000",
      "--body-limit-bytes=16777216",
      "--answer-limit-bytes=16777216",
      "--open-listeners=true"};
  Flags.insert(Flags.end(), ExtraGatewayFlags_.begin(),
               ExtraGatewayFlags_.end());
  Gateways_.emplace_back(JAYBRIDGED_PROGRAM, Flags,
                         Folder_ + "/" + Name + ".log");
}

bool DutyFleet::start() {
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    startControlMember(Index);
  for (std::size_t Index = 0; Index < GatewayCount_; ++Index)
    startGateway(Index);
  return waitFor([&] { return writeConfiguration(); });
}

LoadResponse DutyFleet::callControl(std::size_t Member,
                                    const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body) {
  LoadRequest Call;
  Call.Target_ = controlEndpointOf(Member);
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_ = {"Content-Type: application/json"};
  Call.Body_ = Body;
  return runLoad({Call}, {})[0];
}

bool DutyFleet::writeConfiguration() {
  const std::string Document =
      R"({"Version":1,"Routes":{)" + routeText("safe", "safe", 3000) + "," +
      routeText("unsafe", "unsafe", 3000) + "," +
      routeText("long", "safe", 15000) + "," +
      routeText("patient", "unsafe", 15000) +
      R"(},"Services":{"service":{"HealthPath":"/health"}},"Limits":{}})";
  for (std::size_t Member = 0; Member < MemberCount; ++Member)
    if (callControl(Member, "PUT", "/jaybridge/config", Document).Status_ ==
        200)
      return true;
  return false;
}

unsigned DutyFleet::announce(const std::string &Id, const std::string &Body) {
  unsigned Status = 0;
  waitFor([&] {
    for (std::size_t Member = 0; Member < MemberCount; ++Member) {
      Status = callControl(Member, "PUT", "/jaybridge/instances/" + Id, Body)
                   .Status_;
      if (Status == 200 || (Status >= 400 && Status < 500))
        return true;
    }
    return false;
  });
  return Status;
}

void DutyFleet::addInstances(std::size_t Count,
                             StandInInstance::Behaviour Respond) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string Domain = Domains[Index % MemberCount];
    Instances_.push_back(std::make_unique<StandInInstance>(
        "instance-" + std::to_string(Index),
        "127.4.0." + std::to_string(Index + 1), Respond,
        [this, Domain](const InstanceId &Id, const Endpoint &Address) {
          const auto Start =
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch());
          announce(Id.text(), R"({"Service":"service","Address":")" +
                                  Address.text() + R"(","Zone":")" + Domain +
                                  R"(","Version":"v1","Slots":4,)"
                                  R"("State":"ready","WarmupLeftS":0,)"
                                  R"("Seq":1,"born":)" +
                                  std::to_string(Start.count()) + "}");
        }));
  }
}

bool DutyFleet::waitUntilGatewayEnds(std::size_t Gateway) const {
  return waitFor([&] { return Gateways_[Gateway].hasEnded(); });
}

bool DutyFleet::waitUntilServing(const std::string &Path) {
  for (std::size_t Gateway = 0; Gateway < GatewayCount_; ++Gateway)
    if (!waitFor([&] { return send(Gateway, "GET", Path).Status_ == 200; }))
      return false;
  return true;
}

LoadRequest DutyFleet::request(std::size_t Gateway, const std::string &Method,
                               const std::string &Path) {
  LoadRequest Created;
  Created.Target_ = callerEndpointOf(Gateway);
  Created.Method_ = Method;
  Created.Path_ = Path;
  Created.Headers_ = {"Host: h.example",
                      "Request-Id: request-" + std::to_string(++LastRequest_),
                      "Deadline-Ms: 15000"};
  return Created;
}

LoadResponse DutyFleet::send(std::size_t Gateway, const std::string &Method,
                             const std::string &Path) {
  return runLoad({request(Gateway, Method, Path)}, {})[0];
}

LoadResponse DutyFleet::explain(std::size_t Gateway, const std::string &Query) {
  LoadRequest Asked = request(Gateway, "GET", "/explain?" + Query);
  Asked.Target_ = statusEndpointOf(Gateway);
  return runLoad({Asked}, {})[0];
}

std::size_t DutyFleet::endedProcesses() const {
  std::size_t Ended = 0;
  for (const auto *Processes : {&Members_, &Gateways_})
    for (const ChildProcess &Process : *Processes)
      if (Process.hasEnded())
        ++Ended;
  return Ended;
}

ByteCount DutyFleet::peakMemoryOf(const ChildProcess &Process) {
  std::ifstream Status("/proc/" + std::to_string(Process.processId()) +
                       "/status");
  std::string Name;
  std::size_t Kilobytes = 0;
  while (Status >> Name && Name != "VmHWM:") {
  }
  Status >> Kilobytes;
  return ByteCount(Kilobytes * 1024);
}

std::size_t DutyFleet::openDescriptorsOf(const ChildProcess &Process) {
  const std::filesystem::directory_iterator Descriptors(
      "/proc/" + std::to_string(Process.processId()) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(Descriptors), end(Descriptors)));
}

Endpoint DutyFleet::callerEndpointOf(std::size_t Gateway) const {
  return Endpoint::create(gatewayAddress(Gateway), CallerPort_).takeValue();
}

Endpoint DutyFleet::statusEndpointOf(std::size_t Gateway) const {
  return Endpoint::create(gatewayAddress(Gateway), StatusPort_).takeValue();
}

Endpoint DutyFleet::controlEndpointOf(std::size_t Member) const {
  return Endpoint::create(memberAddress(Member), ControlPort_).takeValue();
}

} // namespace jaybridge
