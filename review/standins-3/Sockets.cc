#include "Sockets.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <strings.h>

namespace review {

namespace {

sockaddr_in socketAddressOf(const Address &Where) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Where.Port_));
  inet_pton(AF_INET, Where.Ip_.c_str(), &Result.sin_addr);
  return Result;
}

bool isReady(int Number, short Events, Milliseconds Timeout) {
  pollfd Waiting{Number, Events, 0};
  return ::poll(&Waiting, 1,
                static_cast<int>(std::max<long>(0, Timeout.count()))) > 0;
}

Milliseconds until(Clock::time_point End) {
  return std::chrono::duration_cast<Milliseconds>(End - Clock::now());
}

} // namespace

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(Number_, Other.Number_);
  return *this;
}

void Socket::close() {
  if (Number_ >= 0)
    ::close(Number_);
  Number_ = -1;
}

Socket Socket::listenAt(const Address &Where) {
  Socket Created(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int Enabled = 1;
  ::setsockopt(Created.Number_, SOL_SOCKET, SO_REUSEADDR, &Enabled,
               sizeof(Enabled));
  const sockaddr_in Bound = socketAddressOf(Where);
  if (::bind(Created.Number_, reinterpret_cast<const sockaddr *>(&Bound),
             sizeof(Bound)) != 0 ||
      ::listen(Created.Number_, 256) != 0)
    Created.close();
  return Created;
}

Socket Socket::connectTo(const Address &Where, Milliseconds Timeout,
                         int ReceiveBuffer) {
  Socket Created(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (ReceiveBuffer > 0)
    ::setsockopt(Created.Number_, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
  const int Flags = ::fcntl(Created.Number_, F_GETFL);
  ::fcntl(Created.Number_, F_SETFL, Flags | O_NONBLOCK);
  const sockaddr_in Target = socketAddressOf(Where);
  int Failure = 0;
  socklen_t Length = sizeof(Failure);
  if (::connect(Created.Number_, reinterpret_cast<const sockaddr *>(&Target),
                sizeof(Target)) != 0 &&
      (errno != EINPROGRESS || !isReady(Created.Number_, POLLOUT, Timeout) ||
       ::getsockopt(Created.Number_, SOL_SOCKET, SO_ERROR, &Failure, &Length) !=
           0 ||
       Failure != 0)) {
    Created.close();
    return Created;
  }
  ::fcntl(Created.Number_, F_SETFL, Flags);
  return Created;
}

Socket Socket::accept(Milliseconds Timeout) const {
  if (!isReady(Number_, POLLIN, Timeout))
    return Socket();
  return Socket(::accept4(Number_, nullptr, nullptr, SOCK_CLOEXEC));
}

bool Socket::sendAll(const std::string &Bytes) const {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    const ssize_t Length = ::send(Number_, Bytes.data() + Written,
                                  Bytes.size() - Written, MSG_NOSIGNAL);
    if (Length <= 0)
      return false;
    Written += static_cast<std::size_t>(Length);
  }
  return true;
}

int Socket::receive(std::string &Bytes, std::size_t Limit,
                    Milliseconds Timeout) const {
  if (!isReady(Number_, POLLIN, Timeout))
    return -1;
  std::string Buffer(Limit, '\0');
  const ssize_t Length = ::recv(Number_, Buffer.data(), Limit, 0);
  if (Length > 0)
    Bytes.append(Buffer, 0, static_cast<std::size_t>(Length));
  return static_cast<int>(Length);
}

void Socket::resetOnClose() const {
  const linger Reset{1, 0};
  ::setsockopt(Number_, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

void Socket::shutdown() const { ::shutdown(Number_, SHUT_RDWR); }

std::string HTTPMessage::header(const std::string &Name) const {
  const std::string Wanted = "\r\n" + Name + ":";
  for (std::size_t Start = Head_.find("\r\n"); Start != std::string::npos;
       Start = Head_.find("\r\n", Start + 2)) {
    if (::strncasecmp(Head_.c_str() + Start, Wanted.c_str(), Wanted.size()) !=
        0)
      continue;
    const std::size_t First =
        Head_.find_first_not_of(' ', Start + Wanted.size());
    return Head_.substr(First, Head_.find("\r\n", First) - First);
  }
  return "";
}

std::optional<HTTPMessage> readMessage(const Socket &From, std::string &Buffer,
                                       Milliseconds Timeout) {
  constexpr std::size_t PieceSize = 65536;
  const Clock::time_point End = Clock::now() + Timeout;
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (From.receive(Buffer, PieceSize, until(End)) <= 0)
      return std::nullopt;
  HTTPMessage Message;
  Message.Head_ = Buffer.substr(0, HeadEnd + 2);
  Message.FirstLine_ = Message.Head_.substr(0, Message.Head_.find("\r\n"));
  const std::string Length = Message.header("Content-Length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (Buffer.size() < HeadEnd + 4 + Size)
    if (From.receive(Buffer, PieceSize, until(End)) <= 0)
      return std::nullopt;
  Message.Body_ = Buffer.substr(HeadEnd + 4, Size);
  Buffer.erase(0, HeadEnd + 4 + Size);
  return Message;
}

Reply send(const Call &Sent) {
  const Clock::time_point End = Clock::now() + Sent.Timeout_;
  Reply Received;
  const Socket Connection = Socket::connectTo(Sent.To_, Sent.Timeout_);
  Received.CouldConnect_ = Connection.isOpen();
  if (!Connection.isOpen())
    return Received;
  std::string Bytes = Sent.Method_ + " " + Sent.Path_ + " HTTP/1.1\r\n";
  for (const std::string &Line : Sent.Headers_)
    Bytes += Line + "\r\n";
  Bytes += "Content-Length: " + std::to_string(Sent.Body_.size()) + "\r\n\r\n";
  Bytes += Sent.Body_;
  if (!Connection.sendAll(Bytes))
    return Received;
  std::string Buffer;
  auto Message = readMessage(Connection, Buffer, until(End));
  if (!Message)
    return Received;
  Received.Message_ = std::move(*Message);
  Received.Status_ = std::atoi(Received.Message_.FirstLine_.substr(9).c_str());
  return Received;
}

int findFreePort() {
  const Socket Probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  socklen_t Length = sizeof(Bound);
  auto *Generic = reinterpret_cast<sockaddr *>(&Bound);
  if (::bind(Probe.number(), Generic, Length) != 0 ||
      ::getsockname(Probe.number(), Generic, &Length) != 0)
    return 0;
  return ntohs(Bound.sin_port);
}

} // namespace review
