#include "Http.hh"

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

bool isSameName(const std::string &Left, const std::string &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) {
                      return std::tolower(static_cast<unsigned char>(A)) ==
                             std::tolower(static_cast<unsigned char>(B));
                    });
}

bool parseAddress(const std::string &Address, sockaddr_in &Parsed) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  Parsed.sin_family = AF_INET;
  Parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  return ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(),
                     &Parsed.sin_addr) == 1;
}

std::string wordOf(const std::string &Line, std::size_t Index) {
  std::size_t Start = 0;
  for (; Index > 0; --Index) {
    Start = Line.find(' ', Start);
    if (Start == std::string::npos)
      return {};
    ++Start;
  }
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

constexpr std::size_t ReadSize = 64UL * 1024;

} // namespace

const std::string *Message::find(const std::string &Name) const {
  for (const Header &Field : Headers_)
    if (isSameName(Field.Name_, Name))
      return &Field.Value_;
  return nullptr;
}

std::string Message::valueOf(const std::string &Name) const {
  const std::string *Found = find(Name);
  return Found != nullptr ? *Found : std::string();
}

std::string Message::method() const { return wordOf(FirstLine_, 0); }
std::string Message::target() const { return wordOf(FirstLine_, 1); }
int Message::status() const { return std::atoi(wordOf(FirstLine_, 1).c_str()); }

Connection::Connection(Connection &&Other) noexcept
    : Socket_(std::exchange(Other.Socket_, -1)),
      Buffer_(std::move(Other.Buffer_)) {}

Connection &Connection::operator=(Connection &&Other) noexcept {
  std::swap(Socket_, Other.Socket_);
  std::swap(Buffer_, Other.Buffer_);
  return *this;
}

std::optional<Connection> Connection::open(const std::string &Address,
                                           Seconds Timeout, int Window) {
  sockaddr_in Peer{};
  if (!parseAddress(Address, Peer))
    return std::nullopt;
  const TimePoint Deadline = now() + Timeout;
  Connection Opened(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (Window > 0)
    ::setsockopt(Opened.Socket_, SOL_SOCKET, SO_RCVBUF, &Window,
                 sizeof(Window));
  ::fcntl(Opened.Socket_, F_SETFL, O_NONBLOCK);
  const int One = 1;
  ::setsockopt(Opened.Socket_, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  const auto *PeerAddress = reinterpret_cast<const sockaddr *>(&Peer);
  if (::connect(Opened.Socket_, PeerAddress, sizeof(Peer)) != 0) {
    if (errno != EINPROGRESS || !Opened.wait(POLLOUT, Deadline))
      return std::nullopt;
    int Failure = 0;
    socklen_t Length = sizeof(Failure);
    ::getsockopt(Opened.Socket_, SOL_SOCKET, SO_ERROR, &Failure, &Length);
    if (Failure != 0)
      return std::nullopt;
  }
  return Opened;
}

bool Connection::wait(short Events, TimePoint Deadline) const {
  const double Left = std::max(0.0, (Deadline - now()).count());
  pollfd Waiting{Socket_, Events, 0};
  return ::poll(&Waiting, 1, static_cast<int>(Left * 1000) + 1) > 0;
}

bool Connection::send(const std::string &Bytes, TimePoint Deadline) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket_, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if ((errno != EAGAIN && errno != EINTR) || now() >= Deadline)
      return false;
    wait(POLLOUT, Deadline);
  }
  return true;
}

std::string Connection::readSome(std::size_t Max, TimePoint Deadline) {
  if (Buffer_.empty()) {
    std::string Bytes(Max, '\0');
    while (now() < Deadline) {
      const ssize_t Count = ::recv(Socket_, Bytes.data(), Max, 0);
      if (Count >= 0) {
        Bytes.resize(static_cast<std::size_t>(Count));
        return Bytes;
      }
      if (errno != EAGAIN && errno != EINTR)
        return {};
      wait(POLLIN, Deadline);
    }
    return {};
  }
  std::string Taken = Buffer_.substr(0, Max);
  Buffer_.erase(0, Taken.size());
  return Taken;
}

bool Connection::fill(TimePoint Deadline) {
  std::string Kept = std::move(Buffer_);
  Buffer_.clear();
  const std::string Read = readSome(ReadSize, Deadline);
  Buffer_ = std::move(Kept) + Read;
  return !Read.empty();
}

std::optional<std::string> Connection::readLine(TimePoint Deadline) {
  std::size_t End = 0;
  while ((End = Buffer_.find("\r\n")) == std::string::npos)
    if (!fill(Deadline))
      return std::nullopt;
  std::string Line = Buffer_.substr(0, End);
  Buffer_.erase(0, End + 2);
  return Line;
}

bool Connection::readBytes(std::size_t Count, std::string &Into,
                           TimePoint Deadline) {
  while (Count > 0) {
    if (Buffer_.empty() && !fill(Deadline))
      return false;
    const std::size_t Taken = std::min(Count, Buffer_.size());
    Into.append(Buffer_, 0, Taken);
    Buffer_.erase(0, Taken);
    Count -= Taken;
  }
  return true;
}

bool Connection::readChunks(std::string &Into, TimePoint Deadline) {
  while (true) {
    const auto Line = readLine(Deadline);
    if (!Line)
      return false;
    const std::size_t Size = std::strtoul(Line->c_str(), nullptr, 16);
    if (!readBytes(Size, Into, Deadline) || !readLine(Deadline))
      return false;
    if (Size == 0)
      return true;
  }
}

std::optional<Message> Connection::read(TimePoint Deadline) {
  Message Read;
  const auto First = readLine(Deadline);
  if (!First)
    return std::nullopt;
  Read.FirstLine_ = *First;
  while (true) {
    const auto Line = readLine(Deadline);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      break;
    const std::size_t Colon = Line->find(':');
    if (Colon == std::string::npos)
      continue;
    const std::size_t Start = Line->find_first_not_of(' ', Colon + 1);
    Read.Headers_.push_back(
        {Line->substr(0, Colon),
         Start == std::string::npos ? "" : Line->substr(Start)});
  }
  if (Read.find("Transfer-Encoding") != nullptr) {
    if (!readChunks(Read.Body_, Deadline))
      return std::nullopt;
  } else if (const std::string *Length = Read.find("Content-Length")) {
    if (!readBytes(std::strtoul(Length->c_str(), nullptr, 10), Read.Body_,
                   Deadline))
      return std::nullopt;
  }
  return Read;
}

bool Connection::isClosedByPeer() const {
  char Byte = 0;
  const ssize_t Count = ::recv(Socket_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

bool Connection::waitReadable(Seconds Timeout) const {
  return !Buffer_.empty() || wait(POLLIN, now() + Timeout);
}

void Connection::close() {
  if (Socket_ >= 0)
    ::close(std::exchange(Socket_, -1));
}

void Connection::reset() {
  const linger Lingering{1, 0};
  ::setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Lingering, sizeof(Lingering));
  close();
}

Server::Server(const std::string &Address, Handler OnConnection)
    : OnConnection_(std::move(OnConnection)) {
  sockaddr_in Local{};
  if (!parseAddress(Address, Local))
    return;
  const int Opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Opened, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  constexpr int Backlog = 1024;
  const auto *LocalAddress = reinterpret_cast<const sockaddr *>(&Local);
  if (::bind(Opened, LocalAddress, sizeof(Local)) != 0 ||
      ::listen(Opened, Backlog) != 0) {
    ::close(Opened);
    return;
  }
  Socket_ = Opened;
  Acceptor_ = std::thread([this] { accept(); });
}

void Server::accept() {
  constexpr int PollMs = 50;
  while (!IsStopping_) {
    pollfd Waiting{Socket_, POLLIN, 0};
    if (::poll(&Waiting, 1, PollMs) <= 0)
      continue;
    const int Accepted =
        ::accept4(Socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    const int One = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    std::lock_guard Lock(Mutex_);
    Threads_.emplace_back([this, Accepted] {
      Connection Incoming(Accepted);
      OnConnection_(Incoming);
    });
  }
}

void Server::stop() {
  IsStopping_ = true;
  if (Acceptor_.joinable())
    Acceptor_.join();
  if (Socket_ >= 0)
    ::close(std::exchange(Socket_, -1));
  std::list<std::thread> Ending;
  {
    std::lock_guard Lock(Mutex_);
    Ending.swap(Threads_);
  }
  for (std::thread &Each : Ending)
    Each.join();
}

std::string requestText(const std::string &Method, const std::string &Target,
                        const std::vector<Header> &Headers,
                        const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const Header &Field : Headers)
    Text += Field.Name_ + ": " + Field.Value_ + "\r\n";
  if (!Body.empty() || Method == "POST" || Method == "PUT")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

std::string responseText(int Status, const std::vector<Header> &Headers,
                         const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " -\r\n";
  for (const Header &Field : Headers)
    Text += Field.Name_ + ": " + Field.Value_ + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Text + Body;
}

std::optional<Message> call(const std::string &Address,
                            const std::string &Method,
                            const std::string &Target,
                            const std::vector<Header> &Headers,
                            const std::string &Body, Seconds Timeout) {
  const TimePoint Deadline = now() + Timeout;
  auto Opened = Connection::open(Address, Timeout);
  if (!Opened)
    return std::nullopt;
  std::vector<Header> All = Headers;
  All.push_back({"Connection", "close"});
  if (!Opened->send(requestText(Method, Target, All, Body), Deadline))
    return std::nullopt;
  return Opened->read(Deadline);
}

} // namespace review
