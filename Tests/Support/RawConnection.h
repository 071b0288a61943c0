#pragma once

#include <LibCore/Endpoint.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Blocking TCP connection for tests that send or check exact bytes.
class RawConnection {
public:
  explicit RawConnection(int Socket) : Socket_(Socket) { setTimeouts(); }
  explicit RawConnection(const Endpoint &Peer)
      : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Peer.port().value());
    inet_pton(AF_INET, Peer.address().c_str(), &Address.sin_addr);
    setTimeouts();
    IsOpen_ = connect(Socket_, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0;
  }
  ~RawConnection() { close(); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool isOpen() const { return IsOpen_; }

  void send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      ssize_t Sent = ::send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
  }

  /// Reads until `End` arrives or the peer closes the connection. Returns the
  /// bytes up to and including `End`, or everything when it did not arrive.
  std::string readUntil(std::string_view End) {
    while (Buffer_.find(End) == std::string::npos && readMore()) {
    }
    auto Found = Buffer_.find(End);
    return take(Found == std::string::npos ? Buffer_.size()
                                           : Found + End.size());
  }

  /// Reads one HTTP message; its body is as long as `Content-Length` says, or
  /// empty without that header.
  std::string readMessage() {
    std::string Message = readUntil("\r\n\r\n");
    constexpr std::string_view Name = "Content-Length: ";
    auto Found = Message.find(Name);
    if (Found == std::string::npos)
      return Message;
    std::size_t Length = std::stoul(Message.substr(Found + Name.size()));
    while (Buffer_.size() < Length && readMore()) {
    }
    return Message + take(std::min(Length, Buffer_.size()));
  }

  std::string readUntilClosed() {
    while (readMore()) {
    }
    return take(Buffer_.size());
  }

  void close() {
    if (Socket_ >= 0)
      ::close(Socket_);
    Socket_ = -1;
  }

private:
  void setTimeouts() {
    // Makes a test fail instead of hang when expected bytes do not arrive, or
    // when the peer does not read.
    timeval Timeout{20, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
    setsockopt(Socket_, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  }

  bool readMore() {
    char Bytes[16384];
    ssize_t Length = recv(Socket_, Bytes, sizeof(Bytes), 0);
    if (Length <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Length));
    return true;
  }

  std::string take(std::size_t Length) {
    std::string Taken = Buffer_.substr(0, Length);
    Buffer_.erase(0, Length);
    return Taken;
  }

  int Socket_ = -1;
  bool IsOpen_ = true;
  std::string Buffer_;
};

} // namespace jaybridge
