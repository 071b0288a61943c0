#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace jaybridge {

/// A request as an instance received it.
struct InstanceRequest {
  std::string Method_;
  std::string Target_;
  std::string RequestId_;
  /// Instance that the request is addressed to, or empty.
  std::string ExpectedInstance_;
};

/// Writes the bytes and keeps the connection open until the peer closes it.
struct WriteBytes {
  std::string Bytes_;
};
/// Writes Head_, then Chunk_ again and again until the peer closes the
/// connection.
struct WriteEndlessly {
  std::string Head_;
  std::string Chunk_;
};
/// Ends the instance: its connections are reset and its port is closed, until
/// it starts again with a new id.
struct EndInstance {};

using InstanceReply = std::variant<WriteBytes, WriteEndlessly, EndInstance>;

/// The response of a sound instance.
std::string signedResponse(const InstanceRequest &Received,
                           const std::string &Body);

/// An instance of a service that tests let end, lie or send garbage. Each
/// connection has a thread and carries one request. A request for another
/// instance gets 421 and does not reach the behaviour.
class StandInInstance {
public:
  using Behaviour = std::function<InstanceReply(const InstanceRequest &)>;
  /// Announces an instance under an id at an address.
  using Announcer = std::function<void(const InstanceId &, const Endpoint &)>;

  /// Address is a loopback address; the kernel assigns the port.
  StandInInstance(std::string Name, const std::string &Address,
                  Behaviour Respond, Announcer Announce);
  ~StandInInstance();
  StandInInstance(const StandInInstance &) = delete;
  StandInInstance &operator=(const StandInInstance &) = delete;

  const Endpoint &address() const { return Address_; }
  /// Ends the instance as EndInstance does.
  void end();
  /// Time between the end of the instance and its next start.
  static constexpr Duration RestartDelay = 400ms;

private:
  void run();
  void listen();
  void serve(int Socket);
  /// Writes the bytes; false when the peer has closed the connection.
  static bool write(int Socket, const std::string &Bytes);
  void closeConnection(int Socket);
  InstanceId id() const;

  std::string Name_;
  Endpoint Address_;
  Behaviour Respond_;
  Announcer Announce_;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<bool> HasEnded_ = false;
  std::atomic<unsigned> StartCount_ = 0;
  std::mutex Mutex_;
  int Listener_ = -1;
  std::set<int> Connections_;
  std::vector<std::thread> Sessions_;
  std::thread Thread_;
};

} // namespace jaybridge
