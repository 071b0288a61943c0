#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
  std::string Ip_;
  int Port_ = 0;

  std::string text() const { return Ip_ + ":" + std::to_string(Port_); }
};

/// Owns a TCP socket.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Number) : Number_(Number) {}
  ~Socket() { close(); }
  Socket(Socket &&Other) noexcept : Number_(Other.Number_) {
    Other.Number_ = -1;
  }
  Socket &operator=(Socket &&Other) noexcept;

  static Socket listenAt(const Address &Where);
  /// Not open when the connection could not be established in time. A receive
  /// buffer of 0 bytes stands for the kernel's default.
  static Socket connectTo(const Address &Where, Milliseconds Timeout,
                          int ReceiveBuffer = 0);

  bool isOpen() const { return Number_ >= 0; }
  int number() const { return Number_; }
  Socket accept(Milliseconds Timeout) const;
  bool sendAll(const std::string &Bytes) const;
  /// Appends at most Limit bytes. Returns their number: 0 at the end of the
  /// stream, -1 after a reset or a timeout.
  int receive(std::string &Bytes, std::size_t Limit,
              Milliseconds Timeout) const;
  /// Makes close() reset the connection.
  void resetOnClose() const;
  void shutdown() const;
  void close();

private:
  int Number_ = -1;
};

struct HTTPMessage {
  std::string FirstLine_;
  std::string Head_;
  std::string Body_;

  std::string header(const std::string &Name) const;
};

/// Reads a message whose body has a known length; none when the connection
/// ended before that or the time was over.
std::optional<HTTPMessage> readMessage(const Socket &From, std::string &Buffer,
                                       Milliseconds Timeout);

struct Call {
  Address To_;
  std::string Method_;
  std::string Path_;
  std::vector<std::string> Headers_;
  std::string Body_;
  Milliseconds Timeout_{1000};
};

/// Status 0 stands for no complete response: CouldConnect_ tells whether there
/// was a connection.
struct Reply {
  int Status_ = 0;
  bool CouldConnect_ = false;
  HTTPMessage Message_;
};

/// Sends the call on a connection of its own.
Reply send(const Call &Sent);

/// A port that is free on all loopback addresses at this time.
int findFreePort();

} // namespace review
