#include "StandInInstance.h"

#include <LibCore/DecisionRole.h>
#include <LibCore/Verify.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jaybridge {

namespace {

/// Interval at which blocked threads check whether the instance has ended.
constexpr int PollIntervalMs = 20;

sockaddr_in socketAddressOf(const std::string &Address, Port Number) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Number.value());
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

int openListener(const Endpoint &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  JAYBRIDGE_VERIFY(Socket >= 0);
  const int Enabled = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  sockaddr_in Bound = socketAddressOf(Address.address(), Address.port());
  JAYBRIDGE_VERIFY(
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) == 0);
  JAYBRIDGE_VERIFY(::listen(Socket, 128) == 0);
  return Socket;
}

Endpoint addressOf(int Listener, const std::string &Address) {
  sockaddr_in Bound{};
  socklen_t Length = sizeof(Bound);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Bound), &Length);
  return Endpoint::create(Address, Port(ntohs(Bound.sin_port))).takeValue();
}

/// Value of a header of the head, or an empty string.
std::string valueOf(const std::string &Head, const std::string &Name) {
  const std::size_t Start = Head.find("\r\n" + Name + ": ");
  if (Start == std::string::npos)
    return "";
  const std::size_t ValueStart = Start + Name.size() + 4;
  return Head.substr(ValueStart, Head.find("\r\n", ValueStart) - ValueStart);
}

/// Reads a request with an optional body of known length; its method is empty
/// when the peer closes the connection before that.
InstanceRequest readRequest(int Socket) {
  std::string Bytes;
  char Buffer[4096];
  auto ReadMore = [&] {
    const ssize_t Length = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Length <= 0)
      return false;
    Bytes.append(Buffer, static_cast<std::size_t>(Length));
    return true;
  };
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Bytes.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return {};
  const std::string Head = Bytes.substr(0, HeadEnd + 2);
  const std::string Length = valueOf(Head, "Content-Length");
  const std::size_t End =
      HeadEnd + 4 + (Length.empty() ? 0 : std::stoul(Length));
  while (Bytes.size() < End)
    if (!ReadMore())
      return {};
  const std::size_t MethodEnd = Head.find(' ');
  const std::size_t TargetEnd = Head.find(' ', MethodEnd + 1);
  return {Head.substr(0, MethodEnd),
          Head.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1),
          valueOf(Head, "Request-Id"), valueOf(Head, "Expect-Instance")};
}

} // namespace

std::string signedResponse(const InstanceRequest &Received,
                           const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Received.RequestId_ +
         "\r\nResponse-Signature: signed\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

StandInInstance::StandInInstance(std::string Name, const std::string &Address,
                                 Behaviour Respond, Announcer Announce)
    : Name_(std::move(Name)), Respond_(std::move(Respond)),
      Announce_(std::move(Announce)) {
  const Endpoint AnyPort = Endpoint::create(Address, Port(0)).takeValue();
  Listener_ = openListener(AnyPort);
  Address_ = addressOf(Listener_, Address);
  Thread_ = std::thread([this] { run(); });
}

StandInInstance::~StandInInstance() {
  IsStopping_ = true;
  end();
  Thread_.join();
  for (std::thread &Session : Sessions_)
    Session.join();
}

void StandInInstance::end() {
  HasEnded_ = true;
  std::lock_guard Lock(Mutex_);
  for (int Socket : Connections_)
    ::shutdown(Socket, SHUT_RDWR);
}

void StandInInstance::run() {
  while (!IsStopping_) {
    ++StartCount_;
    Announce_(id(), Address_);
    while (!HasEnded_)
      listen();
    ::close(Listener_);
    if (IsStopping_)
      return;
    std::this_thread::sleep_for(RestartDelay);
    HasEnded_ = IsStopping_.load();
    Listener_ = openListener(Address_);
  }
  ::close(Listener_);
}

InstanceId StandInInstance::id() const {
  return InstanceId(Name_ + "-" + std::to_string(StartCount_));
}

void StandInInstance::listen() {
  pollfd Ready{Listener_, POLLIN, 0};
  if (::poll(&Ready, 1, PollIntervalMs) <= 0)
    return;
  const int Socket = ::accept(Listener_, nullptr, nullptr);
  if (Socket < 0)
    return;
  std::lock_guard Lock(Mutex_);
  Connections_.insert(Socket);
  Sessions_.emplace_back([this, Socket] {
    serve(Socket);
    closeConnection(Socket);
  });
}

void StandInInstance::serve(int Socket) {
  const InstanceRequest Received = readRequest(Socket);
  if (Received.Method_.empty())
    return;
  const bool IsMisdirected = !Received.ExpectedInstance_.empty() &&
                             Received.ExpectedInstance_ != id().text();
  const InstanceReply Reply =
      IsMisdirected ? WriteBytes{"HTTP/1.1 421 Misdirected\r\nRequest-Id: " +
                                 Received.RequestId_ +
                                 "\r\nNot-Executed: misdirected\r\n"
                                 "Content-Length: 0\r\n\r\n"}
                    : Respond_(Received);
  std::visit(Overloaded{
                 [&](const WriteBytes &Whole) {
                   char Ignored = 0;
                   if (write(Socket, Whole.Bytes_))
                     while (::recv(Socket, &Ignored, 1, 0) > 0) {
                     }
                 },
                 [&](const WriteEndlessly &Endless) {
                   bool IsOpen = write(Socket, Endless.Head_);
                   while (IsOpen && !HasEnded_)
                     IsOpen = write(Socket, Endless.Chunk_);
                 },
                 [&](const EndInstance &) { end(); },
             },
             Reply);
}

bool StandInInstance::write(int Socket, const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    const ssize_t Length = ::send(Socket, Bytes.data() + Written,
                                  Bytes.size() - Written, MSG_NOSIGNAL);
    if (Length <= 0)
      return false;
    Written += static_cast<std::size_t>(Length);
  }
  return true;
}

void StandInInstance::closeConnection(int Socket) {
  std::lock_guard Lock(Mutex_);
  Connections_.erase(Socket);
  // Resets the connection, as the end of a process does while data is unread.
  const linger Reset{1, 0};
  if (HasEnded_)
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  ::close(Socket);
}

} // namespace jaybridge
