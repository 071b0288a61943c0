#pragma once

#include "Http.hh"

#include <fstream>
#include <map>
#include <memory>
#include <set>

#include <sys/types.h>

namespace review {

/// What a case sent, saw answered and saw run, with times from its start. Goes
/// to record.txt in the folder of the case.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);
  Seconds elapsed() const { return now() - StartedAt_; }

private:
  TimePoint StartedAt_ = now();
  std::mutex Mutex_;
  std::ofstream File_;
};

/// Values of the fields of a settings file by their path, as "Bounds.GraceS".
using Fields = std::map<std::string, std::string>;

/// Fills in a template as the platform does: values, and sections that stand
/// once if their value is there.
std::string fillIn(std::string Template, const Fields &Values);

/// A process of the project on a machine of its own loopback address.
class Process {
public:
  Process(std::string Name, Fields Settings, std::string Template,
          std::string Folder);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Writes the settings file and starts the program of the deploy file.
  void start();
  void signal(int Number) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Whether the process has ended since its last start.
  bool hasEnded();
  bool isRunning() { return Id_ > 0 && !hasEnded(); }
  /// How it ended, in words.
  std::string end() const;
  /// Memory in use now, in bytes.
  std::size_t memory() const;
  Fields &settings() { return Settings_; }
  const std::string &name() const { return Name_; }
  std::string logPath() const { return Folder_ + "/" + Name_ + ".log"; }

private:
  std::string Name_;
  Fields Settings_;
  std::string Template_;
  std::string Folder_;
  pid_t Id_ = -1;
  std::optional<int> Status_;
};

/// The machines of a small deployment, its operator and the bounds of its
/// rules. All files are in a temporary folder that is removed at the end.
class Fleet {
public:
  Fleet(Record &Written, std::size_t CoreCount, std::size_t EdgeCount);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  Process &core(std::size_t Index) { return *Cores_[Index]; }
  Process &edge(std::size_t Index) { return *Edges_[Index]; }
  std::size_t coreCount() const { return Cores_.size(); }
  std::size_t edgeCount() const { return Edges_.size(); }
  /// Sets a field of the settings of all machines of a class.
  void setOnAll(const std::string &Field, const std::string &Value);
  void setOnEdges(const std::string &Field, const std::string &Value);
  void startAll();
  /// Adds a core machine with an empty disk; it is not started.
  Process &addCore(bool IsFirstStart);
  std::string controlAddress(std::size_t Core) const;
  std::string callerAddress(std::size_t Edge) const;
  std::string readinessAddress(std::size_t Edge) const;
  bool isReady(std::size_t Edge) const;
  /// Waits until all edges are ready.
  bool waitUntilReady(Seconds Timeout) const;
  /// Sends an order until it gets a final answer, as the operator does.
  /// Returns the status, 0 at the timeout.
  int order(const std::string &Method, const std::string &Target,
            const std::string &Body, Seconds Timeout,
            std::string *Answer = nullptr);
  Record &record() { return Record_; }
  const std::string &folder() const { return Folder_; }
  /// A port that is free on all loopback addresses.
  static int freePort();

private:
  Fields commonSettings(const std::string &Name, const std::string &Zone,
                        const std::string &Ip) const;
  std::string seeds() const;

  Record &Record_;
  std::string Folder_;
  std::string Net_;
  int PeerPort_;
  int ControlPort_;
  int FrontPort_;
  int ReadinessPort_;
  std::string CoreTemplate_;
  std::string EdgeTemplate_;
  std::vector<std::string> CoreIps_;
  std::vector<std::string> EdgeIps_;
  std::vector<std::unique_ptr<Process>> Cores_;
  std::vector<std::unique_ptr<Process>> Edges_;
};

/// A request as an instance got it.
struct Arrival {
  Message Request_;
  std::string Id_;
  std::string Instance_;
  TimePoint At_;
};

struct Reply {
  int Status_ = 200;
  std::string Body_ = "done";
  Seconds Work_{0.02};
  /// The instance ends as it begins to run the request.
  bool Crashes_ = false;
};

struct InstanceSettings {
  std::string Id_;
  std::string Service_;
  std::string Address_;
  std::string Zone_ = "shah-alam";
  int Slots_ = 4;
  int Queue_ = 16;
};

/// A sound instance: it runs as many requests at once as it has slots, queues a
/// few more, refuses what it does not run, drops a request whose connection is
/// closed, and announces itself.
class Instance {
public:
  using Behaviour = std::function<Reply(const Arrival &)>;

  Instance(Fleet &Announced, InstanceSettings Settings, Behaviour Respond);
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  const InstanceSettings &settings() const { return Settings_; }
  /// Whether a request has ended it. It then only has to be destroyed.
  bool hasCrashed() const { return HasCrashed_; }
  std::size_t acknowledgedBeats() const { return Acknowledged_; }
  std::string announcement(const std::string &State) const;
  void stop();

private:
  void serve(Connection &Incoming);
  /// Returns whether the connection stays open.
  bool respond(Connection &Incoming, const Message &Request);
  bool takeSlot(Connection &Incoming, TimePoint Deadline);
  void beat();

  Fleet &Fleet_;
  InstanceSettings Settings_;
  Behaviour Respond_;
  long long Born_;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<int> Running_ = 0;
  std::atomic<int> Waiting_ = 0;
  std::atomic<bool> HasCrashed_ = false;
  std::atomic<std::size_t> Acknowledged_ = 0;
  std::atomic<long> Sequence_ = 0;
  std::unique_ptr<Server> Server_;
  std::thread Beats_;
};

struct RouteText {
  std::string Name_;
  std::string Kind_;
  std::string Service_;
  int TimeoutMs_ = 3000;
};

/// The text of a configuration whose routes are "/NAME/" of the host
/// "h.example".
std::string configurationText(int Version,
                              const std::vector<RouteText> &Routes);

std::vector<Header> requestHeaders(const std::string &Id, int DeadlineMs);

/// Whether the case shall hold its disruption.
bool hasTrouble();

} // namespace review
