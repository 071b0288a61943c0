#pragma once

#include "Fleet.hh"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

/// A request that reached an instance.
struct Arrival {
  double Second_ = 0;
  std::string RequestId_;
  std::string Instance_;
  /// The instance began to work on it.
  bool HasRun_ = false;
};

/// A server of a service, as the platform's pages describe it: it announces
/// itself every 1.5 s, serves one request at a time on a connection, echoes
/// Request-Id, signs its responses and answers 421 to requests for another
/// instance.
class Instance {
public:
  struct Work {
    double Seconds_ = 0;
    std::size_t ResponseBytes_ = 100;
  };
  using Behaviour = std::function<Work(const HTTPMessage &)>;

  Instance(Fleet &System, std::string Name, std::string Service,
           std::size_t Zone, Behaviour Respond);
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  /// Begins to announce itself as ready. True once it has been acknowledged.
  bool join(double Seconds);
  /// Sends the departure; true when it was acknowledged.
  bool leave(double Seconds);
  /// Body of its announcement.
  std::string announcement(const std::string &State);

  const Address &address() const { return Address_; }
  std::string id() const { return "i-" + Name_; }
  std::vector<Arrival> arrivals() const;

private:
  void run();
  void serve(const std::shared_ptr<Socket> &Connection);
  void beat();
  bool call(const std::string &Method, const std::string &Body, double Seconds);
  static long unixMilliseconds();

  Fleet &System_;
  std::string Name_;
  std::string Service_;
  std::size_t Zone_;
  Behaviour Respond_;
  Address Address_;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<bool> IsBeating_ = false;
  long Born_;
  std::atomic<int> Sequence_ = 0;
  std::atomic<std::size_t> NextMember_;
  mutable std::mutex Mutex_;
  std::vector<Arrival> Arrivals_;
  std::vector<std::shared_ptr<Socket>> Connections_;
  std::vector<std::thread> Sessions_;
  std::thread Listener_;
  std::thread Beats_;
};

} // namespace review
