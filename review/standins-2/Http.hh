#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;
using TimePoint = std::chrono::time_point<Clock, Seconds>;

inline TimePoint now() { return Clock::now(); }

struct Header {
  std::string Name_;
  std::string Value_;
};

/// A request or a response; which one follows from its first line.
struct Message {
  std::string FirstLine_;
  std::vector<Header> Headers_;
  std::string Body_;

  /// Null when there is no such header.
  const std::string *find(const std::string &Name) const;
  std::string valueOf(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A TCP connection with blocking calls that end at a deadline.
class Connection {
public:
  Connection() = default;
  explicit Connection(int Socket) : Socket_(Socket) {}
  Connection(Connection &&Other) noexcept;
  Connection &operator=(Connection &&Other) noexcept;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(); }

  /// Address is A.B.C.D:PORT. A window of 0 leaves the system's default.
  static std::optional<Connection> open(const std::string &Address,
                                        Seconds Timeout, int Window = 0);
  bool isOpen() const { return Socket_ >= 0; }
  bool send(const std::string &Bytes, TimePoint Deadline);
  /// Reads up to Max bytes. Empty at the end, after a failure and at the
  /// deadline.
  std::string readSome(std::size_t Max, TimePoint Deadline);
  /// Reads a whole message; none when the connection ends before, or at the
  /// deadline.
  std::optional<Message> read(TimePoint Deadline);
  /// Whether the peer has closed or reset the connection.
  bool isClosedByPeer() const;
  /// Waits until there is something to read, or the end of the connection.
  bool waitReadable(Seconds Timeout) const;
  void close();
  /// Closes with a reset.
  void reset();

private:
  bool wait(short Events, TimePoint Deadline) const;
  bool fill(TimePoint Deadline);
  std::optional<std::string> readLine(TimePoint Deadline);
  bool readBytes(std::size_t Count, std::string &Into, TimePoint Deadline);
  bool readChunks(std::string &Into, TimePoint Deadline);

  int Socket_ = -1;
  std::string Buffer_;
};

/// Accepts connections and gives each to a handler on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  Server(const std::string &Address, Handler OnConnection);
  ~Server() { stop(); }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  bool isListening() const { return Socket_ >= 0; }
  bool isStopping() const { return IsStopping_; }
  void stop();

private:
  void accept();

  int Socket_ = -1;
  Handler OnConnection_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Acceptor_;
  std::mutex Mutex_;
  std::list<std::thread> Threads_;
};

std::string requestText(const std::string &Method, const std::string &Target,
                        const std::vector<Header> &Headers,
                        const std::string &Body);
std::string responseText(int Status, const std::vector<Header> &Headers,
                         const std::string &Body);

/// One call on a connection of its own.
std::optional<Message> call(const std::string &Address,
                            const std::string &Method,
                            const std::string &Target,
                            const std::vector<Header> &Headers,
                            const std::string &Body, Seconds Timeout);

} // namespace review
