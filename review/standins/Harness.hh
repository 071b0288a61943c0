// Stand-ins for the platform, the operator, clients and instances, and the
// processes of a small deployment on loopback addresses.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// Milliseconds of the steady clock since the start of the program.
long nowMs();
/// Milliseconds since 1970.
long long unixMs();
void sleepMs(long Milliseconds);
void sleepUntilMs(long Time);
/// True unless TROUBLE=0 is set.
bool hasTrouble();

/// Appends lines with their time to the record of the run. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  void line(const std::string &Text);

private:
  std::mutex Mutex_;
  void *File_;
};

struct Endpoint {
  std::string Address_;
  int Port_ = 0;
  std::string text() const { return Address_ + ":" + std::to_string(Port_); }
};

struct Reply {
  /// 0 when there was no complete answer.
  int Status_ = 0;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct Call {
  std::string Method_ = "GET";
  std::string Path_ = "/";
  std::vector<std::string> Headers_;
  std::string Body_;
};

/// Sends one call on a new connection.
Reply send(const Endpoint &To, const Call &Sent, long TimeoutMs);

/// One process of the project; it is killed when the object ends.
class Process {
public:
  Process(std::vector<std::string> Command, std::string LogPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void signal(int Number);
  /// Waits for the end of the process.
  void wait();
  /// True when the process has ended by itself or by a signal.
  bool hasEnded();
  int waitStatus() const { return WaitStatus_; }
  pid_t id() const { return Id_; }

private:
  pid_t Id_ = -1;
  bool IsReaped_ = false;
  int WaitStatus_ = 0;
};

/// The processes of a small deployment, started with the commands of
/// deploy/system.toml and flag files after the templates in platform/.
class Deployment {
public:
  Deployment(int ControlCount, int GatewayCount);
  ~Deployment();

  /// The control members that the settings name as seeds from now on, three at
  /// most.
  void setSeeds(std::vector<int> Members) { Seeds_ = std::move(Members); }
  void start();
  void startControl(int Index, bool IsFirstStart);
  void startGateway(int Index);
  Process &control(int Index) { return *Controls_[Index]; }
  Process &gateway(int Index) { return *Gateways_[Index]; }
  int controlCount() const { return ControlCount_; }
  int gatewayCount() const { return GatewayCount_; }
  Endpoint controlApi(int Index) const;
  Endpoint callers(int Index) const;
  Endpoint status(int Index) const;
  /// Text of a process's log so far.
  std::string controlLog(int Index) const;
  std::string gatewayLog(int Index) const;
  const std::string &folder() const { return Folder_; }
  /// The member that answers a read without a redirect, or -1.
  int findLeader() const;

private:
  std::string zone(int Index) const;
  std::string controlAddress(int Index) const;
  std::string gatewayAddress(int Index) const;
  std::string seeds() const;
  std::string writeFlags(const std::string &Name, const std::string &Text);

  int ControlCount_;
  int GatewayCount_;
  std::string Folder_;
  std::vector<int> Seeds_;
  int PeerPort_ = 0;
  int ControlPort_ = 0;
  int CallerPort_ = 0;
  int StatusPort_ = 0;
  std::vector<std::unique_ptr<Process>> Controls_;
  std::vector<std::unique_ptr<Process>> Gateways_;
};

/// Calls the control plane as an instance or an operator does: follows two
/// redirects, and moves on to another daemon with increasing backoff after a
/// failure, a 5xx or a second without a response.
class ControlCaller {
public:
  ControlCaller(const Deployment &Fleet, unsigned Seed)
      : Fleet_(Fleet), Random_(Seed) {}
  /// One call to one daemon, with its redirects.
  Reply callOnce(int Member, const Call &Sent);
  /// Calls until there is a clear answer or the time is over.
  Reply call(const Call &Sent, long GiveUpAtMs, int FirstMember = -1);

private:
  const Deployment &Fleet_;
  std::mt19937 Random_;
};

struct InstanceOptions {
  std::string Id_;
  std::string Service_;
  std::string Address_;
  std::string Zone_ = "zone-0";
  int Slots_ = 4;
  long WorkMs_ = 20;
};

/// One arrival of a request at an instance.
struct Arrival {
  long At_ = 0;
  std::string Instance_;
  std::string Service_;
  std::string Method_;
  std::string Path_;
  std::string RequestId_;
  bool HasRun_ = false;
};

/// An instance: it serves requests, answers its health path and sends
/// heartbeats to the control plane.
class Instance {
public:
  Instance(InstanceOptions Options, const Deployment &Fleet, Record &Log);
  ~Instance();

  const std::string &id() const { return Options_.Id_; }
  const Endpoint &address() const { return Address_; }
  long long born() const { return Born_; }
  /// The heartbeat that the instance sends in this state.
  std::string heartbeatBody(const std::string &State);
  /// Sends heartbeats until the instance ends.
  void startHeartbeats();
  void stopHeartbeats();
  /// Reports that the instance drains; returns the time of the
  /// acknowledgement, or -1.
  long drain(long GiveUpAtMs);
  /// Sends DELETE; returns the time of the acknowledgement, or -1.
  long leave(long GiveUpAtMs);
  /// Ends the instance as a crash does.
  void end();
  std::vector<Arrival> arrivals();

private:
  void accept();
  void serve(int Socket);
  void beat();

  InstanceOptions Options_;
  const Deployment &Fleet_;
  Record &Log_;
  Endpoint Address_;
  long long Born_;
  std::atomic<int> Seq_{0};
  int Listener_ = -1;
  std::atomic<bool> HasEnded_{false};
  std::atomic<bool> IsBeating_{false};
  std::atomic<bool> IsDraining_{false};
  std::atomic<int> Busy_{0};
  std::mutex Mutex_;
  std::vector<Arrival> Arrivals_;
  std::set<int> Sockets_;
  std::vector<std::thread> Sessions_;
  std::thread Acceptor_;
  std::thread Heart_;
};

/// Sends requests of one kind to all gateways in turn until it is stopped.
class Client {
public:
  struct Sent {
    std::string RequestId_;
    std::string Path_;
    int Gateway_ = 0;
    long SentAt_ = 0;
    long AnsweredAt_ = 0;
    int Status_ = 0;
    bool IsSigned_ = false;
  };
  Client(const Deployment &Fleet, Record &Log, std::string Method,
         std::string Prefix, long PeriodMs);
  ~Client();
  void stop();
  std::vector<Sent> requests();

private:
  void run();
  const Deployment &Fleet_;
  Record &Log_;
  std::string Method_;
  std::string Prefix_;
  long PeriodMs_;
  std::atomic<bool> IsStopping_{false};
  std::mutex Mutex_;
  std::vector<Sent> Requests_;
  std::vector<std::thread> Calls_;
  std::thread Thread_;
};

/// Ends all processes and exits with the code 2.
[[noreturn]] void cannotRun(const std::string &Reason);

} // namespace review
