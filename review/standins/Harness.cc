#include "Harness.hh"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point Start = Clock::now();

constexpr const char *Program = "target/Services/jaybridged/jaybridged";

sockaddr_in socketAddress(const Endpoint &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(At.Port_));
  inet_pton(AF_INET, At.Address_.c_str(), &Result.sin_addr);
  return Result;
}

/// Waits until the socket is ready or the time is over.
bool waitFor(int Socket, short Events, long UntilMs) {
  while (true) {
    long Left = UntilMs - nowMs();
    if (Left <= 0)
      return false;
    pollfd Poll{Socket, Events, 0};
    int Ready = ::poll(&Poll, 1, static_cast<int>(Left));
    if (Ready > 0)
      return true;
    if (Ready == 0)
      return false;
    if (errno != EINTR)
      return false;
  }
}

int connectTo(const Endpoint &To, long UntilMs) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address = socketAddress(To);
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    int Failure = errno;
    socklen_t Length = sizeof(Failure);
    if (Failure != EINPROGRESS || !waitFor(Socket, POLLOUT, UntilMs) ||
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Length) != 0 ||
        Failure != 0) {
      ::close(Socket);
      return -1;
    }
  }
  return Socket;
}

bool writeAll(int Socket, const std::string &Bytes, long UntilMs) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Count > 0)
      Done += static_cast<std::size_t>(Count);
    else if (Count < 0 && errno == EAGAIN) {
      if (!waitFor(Socket, POLLOUT, UntilMs))
        return false;
    } else
      return false;
  }
  return true;
}

std::string lowerCase(std::string Text) {
  for (char &Character : Text)
    Character = static_cast<char>(std::tolower(Character));
  return Text;
}

/// A message with its headers and a body of a stated length.
struct Message {
  std::string FirstLine_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

std::optional<Message> readMessage(int Socket, std::string &Buffer,
                                   long UntilMs) {
  auto ReadMore = [&] {
    char Bytes[65536];
    while (true) {
      ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
      if (Count > 0) {
        Buffer.append(Bytes, static_cast<std::size_t>(Count));
        return true;
      }
      if (Count == 0 || (errno != EAGAIN && errno != EINTR))
        return false;
      if (!waitFor(Socket, POLLIN, UntilMs))
        return false;
    }
  };
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return std::nullopt;
  Message Read;
  std::istringstream Lines(Buffer.substr(0, HeadEnd));
  std::string Line;
  std::getline(Lines, Line);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  Read.FirstLine_ = Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Read.Headers_[lowerCase(Line.substr(0, Colon))] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  std::size_t Length = 0;
  if (auto Found = Read.Headers_.find("content-length");
      Found != Read.Headers_.end())
    Length = std::strtoull(Found->second.c_str(), nullptr, 10);
  while (Buffer.size() < HeadEnd + 4 + Length)
    if (!ReadMore())
      return std::nullopt;
  Read.Body_ = Buffer.substr(HeadEnd + 4, Length);
  Buffer.erase(0, HeadEnd + 4 + Length);
  return Read;
}

std::mutex ChildrenMutex;
std::set<pid_t> Children;

void killChildren() {
  std::lock_guard Lock(ChildrenMutex);
  for (pid_t Child : Children) {
    ::kill(Child, SIGCONT);
    ::kill(Child, SIGKILL);
  }
}

void endAtSignal(int) {
  killChildren();
  ::_exit(2);
}

/// Ports that are free on all loopback addresses, bound at the same time so
/// that they differ.
std::vector<int> findFreePorts(std::size_t Count) {
  std::vector<int> Sockets;
  std::vector<int> Ports;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    socklen_t Length = sizeof(Address);
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length) != 0)
      cannotRun("no free port");
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    Sockets.push_back(Socket);
    Ports.push_back(ntohs(Address.sin_port));
  }
  for (int Socket : Sockets)
    ::close(Socket);
  return Ports;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

long nowMs() {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                            Start)
          .count());
}

long long unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(long Milliseconds) {
  if (Milliseconds > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

void sleepUntilMs(long Time) { sleepMs(Time - nowMs()); }

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void cannotRun(const std::string &Reason) {
  std::fprintf(stderr, "cannot run: %s\n", Reason.c_str());
  killChildren();
  std::_Exit(2);
}

Record::Record(const std::string &Path) : File_(std::fopen(Path.c_str(), "w")) {
  if (File_ == nullptr)
    cannotRun("cannot write " + Path);
  std::signal(SIGINT, endAtSignal);
  std::signal(SIGTERM, endAtSignal);
  std::signal(SIGPIPE, SIG_IGN);
}
Record::~Record() { std::fclose(static_cast<std::FILE *>(File_)); }

void Record::line(const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  std::fprintf(static_cast<std::FILE *>(File_), "%8.3f %s\n",
               static_cast<double>(nowMs()) / 1000, Text.c_str());
  std::fflush(static_cast<std::FILE *>(File_));
}

Reply send(const Endpoint &To, const Call &Sent, long TimeoutMs) {
  long Until = nowMs() + TimeoutMs;
  Reply Result;
  int Socket = connectTo(To, Until);
  if (Socket < 0)
    return Result;
  std::string Text = Sent.Method_ + " " + Sent.Path_ + " HTTP/1.1\r\n";
  bool HasHost = false;
  for (const std::string &Header : Sent.Headers_) {
    HasHost = HasHost || Header.rfind("Host:", 0) == 0;
    Text += Header + "\r\n";
  }
  if (!HasHost)
    Text += "Host: " + To.text() + "\r\n";
  if (!Sent.Body_.empty() || Sent.Method_ == "PUT" || Sent.Method_ == "POST")
    Text += "Content-Length: " + std::to_string(Sent.Body_.size()) + "\r\n";
  Text += "\r\n" + Sent.Body_;
  std::string Buffer;
  if (writeAll(Socket, Text, Until))
    if (auto Read = readMessage(Socket, Buffer, Until);
        Read && Read->FirstLine_.size() > 12) {
      Result.Status_ = std::atoi(Read->FirstLine_.c_str() + 9);
      Result.Headers_ = std::move(Read->Headers_);
      Result.Body_ = std::move(Read->Body_);
    }
  ::close(Socket);
  return Result;
}

Process::Process(std::vector<std::string> Command, std::string LogPath) {
  std::vector<char *> Arguments;
  for (std::string &Word : Command)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  int Log =
      ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  Id_ = ::fork();
  if (Id_ == 0) {
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }
  ::close(Log);
  if (Id_ < 0)
    cannotRun("cannot start a process");
  std::lock_guard Lock(ChildrenMutex);
  Children.insert(Id_);
}

Process::~Process() {
  if (hasEnded())
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  wait();
}

void Process::signal(int Number) {
  if (!IsReaped_)
    ::kill(Id_, Number);
}

void Process::wait() {
  if (IsReaped_)
    return;
  ::waitpid(Id_, &WaitStatus_, 0);
  IsReaped_ = true;
  std::lock_guard Lock(ChildrenMutex);
  Children.erase(Id_);
}

bool Process::hasEnded() {
  if (IsReaped_)
    return true;
  if (::waitpid(Id_, &WaitStatus_, WNOHANG) != Id_)
    return false;
  IsReaped_ = true;
  std::lock_guard Lock(ChildrenMutex);
  Children.erase(Id_);
  return true;
}

Deployment::Deployment(int ControlCount, int GatewayCount)
    : ControlCount_(ControlCount), GatewayCount_(GatewayCount) {
  if (::access(Program, X_OK) != 0)
    cannotRun(std::string(Program) + " is not built");
  std::string Template =
      (std::filesystem::temp_directory_path() / "jaybridge-review-XXXXXX")
          .string();
  if (::mkdtemp(Template.data()) == nullptr)
    cannotRun("no temporary folder");
  Folder_ = Template;
  std::vector<int> Ports = findFreePorts(4);
  PeerPort_ = Ports[0];
  ControlPort_ = Ports[1];
  CallerPort_ = Ports[2];
  StatusPort_ = Ports[3];
  for (int Index = 0; Index < std::min(3, ControlCount_); ++Index)
    Seeds_.push_back(Index);
  Controls_.resize(static_cast<std::size_t>(ControlCount));
  Gateways_.resize(static_cast<std::size_t>(GatewayCount));
}

Deployment::~Deployment() {
  Gateways_.clear();
  Controls_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string Deployment::zone(int Index) const {
  return "zone-" + std::to_string(Index % 3);
}
std::string Deployment::controlAddress(int Index) const {
  return "127.31." + std::to_string(Index % 3 + 1) + "." +
         std::to_string(Index + 1);
}
std::string Deployment::gatewayAddress(int Index) const {
  return "127.31." + std::to_string(Index % 3 + 1) + "." +
         std::to_string(Index + 101);
}
Endpoint Deployment::controlApi(int Index) const {
  return {controlAddress(Index), ControlPort_};
}
Endpoint Deployment::callers(int Index) const {
  return {gatewayAddress(Index), CallerPort_};
}
Endpoint Deployment::status(int Index) const {
  return {gatewayAddress(Index), StatusPort_};
}

std::string Deployment::seeds() const {
  std::string Text;
  for (int Member : Seeds_)
    Text += (Text.empty() ? "" : ",") + controlApi(Member).text();
  return Text;
}

std::string Deployment::writeFlags(const std::string &Name,
                                   const std::string &Text) {
  std::string Path = Folder_ + "/" + Name + ".flags";
  std::ofstream(Path) << Text;
  return Path;
}

void Deployment::startControl(int Index, bool IsFirstStart) {
  std::string Name = "core-" + std::to_string(Index);
  std::string Flags = "--duty=control\n--member-id=" + Name +
                      "\n--failure-domain=" + zone(Index) +
                      "\n--operator-address=" + controlApi(Index).text() +
                      "\n--peer-address=" + controlAddress(Index) + ":" +
                      std::to_string(PeerPort_) + "\n--seeds=" + seeds() +
                      "\n--seed-peer-port=" + std::to_string(PeerPort_) +
                      "\n--data-folder=" + Folder_ + "/" + Name + ".data" +
                      "\n--first-start=" + (IsFirstStart ? "true" : "false") +
                      "\n--grace-ms=6000\n--retry-allowance=62"
                      "\n--open-listeners=true\n";
  Controls_[static_cast<std::size_t>(Index)] = std::make_unique<Process>(
      std::vector<std::string>{Program,
                               "--flagfile=" + writeFlags(Name, Flags)},
      Folder_ + "/" + Name + ".log");
}

void Deployment::startGateway(int Index) {
  std::string Name = "edge-" + std::to_string(Index);
  std::string Flags =
      "--duty=gateway\n--member-id=" + Name +
      "\n--failure-domain=" + zone(Index) +
      "\n--caller-address=" + callers(Index).text() +
      "\n--status-address=" + status(Index).text() +
      "\n--peer-address=" + gatewayAddress(Index) + ":" +
      std::to_string(PeerPort_) + "\n--seeds=" + seeds() +
      "\n--seed-peer-port=" + std::to_string(PeerPort_) +
      "\n--grace-ms=6000\n--body-limit-bytes=16777216"
      "\n--answer-limit-bytes=16777216\n--open-listeners=true\n";
  Gateways_[static_cast<std::size_t>(Index)] = std::make_unique<Process>(
      std::vector<std::string>{Program,
                               "--flagfile=" + writeFlags(Name, Flags)},
      Folder_ + "/" + Name + ".log");
}

void Deployment::start() {
  for (int Index = 0; Index < ControlCount_; ++Index)
    startControl(Index, true);
  for (int Index = 0; Index < GatewayCount_; ++Index)
    startGateway(Index);
}

std::string Deployment::controlLog(int Index) const {
  return readFile(Folder_ + "/core-" + std::to_string(Index) + ".log");
}
std::string Deployment::gatewayLog(int Index) const {
  return readFile(Folder_ + "/edge-" + std::to_string(Index) + ".log");
}

int Deployment::findLeader() const {
  for (int Index = 0; Index < ControlCount_; ++Index) {
    Call Read;
    Read.Path_ = "/jaybridge/config";
    if (send(controlApi(Index), Read, 300).Status_ == 200)
      return Index;
  }
  return -1;
}

Reply ControlCaller::callOnce(int Member, const Call &Sent) {
  Endpoint To = Fleet_.controlApi(Member);
  Call Next = Sent;
  Reply Result;
  for (int Redirects = 0; Redirects <= 2; ++Redirects) {
    Result = send(To, Next, 1000);
    if (Result.Status_ != 307)
      return Result;
    std::string Location = Result.Headers_["location"];
    std::size_t Host = Location.find("//");
    std::size_t Path = Location.find('/', Host + 2);
    std::size_t Colon = Location.find(':', Host + 2);
    if (Host == std::string::npos || Path == std::string::npos ||
        Colon == std::string::npos)
      return Result;
    To.Address_ = Location.substr(Host + 2, Colon - Host - 2);
    To.Port_ = std::atoi(Location.c_str() + Colon + 1);
    Next.Path_ = Location.substr(Path);
  }
  return Result;
}

Reply ControlCaller::call(const Call &Sent, long GiveUpAtMs, int FirstMember) {
  constexpr long FirstBackoffMs = 5;
  constexpr long MaxBackoffMs = 20;
  long Backoff = FirstBackoffMs;
  int Member = FirstMember >= 0
                   ? FirstMember
                   : static_cast<int>(Random_() % static_cast<unsigned>(
                                                      Fleet_.controlCount()));
  while (true) {
    Reply Result = callOnce(Member, Sent);
    bool IsClear = Result.Status_ >= 200 && Result.Status_ < 500 &&
                   Result.Status_ != 307 && Result.Status_ != 408 &&
                   Result.Status_ != 429;
    if (IsClear || nowMs() + Backoff >= GiveUpAtMs)
      return IsClear ? Result : Reply{};
    // Backoff with jitter, so that callers don't keep step.
    sleepMs(Backoff / 2 +
            static_cast<long>(Random_() % static_cast<unsigned>(Backoff)));
    Backoff = std::min(2 * Backoff, MaxBackoffMs);
    Member = (Member + 1) % Fleet_.controlCount();
  }
}

Instance::Instance(InstanceOptions Options, const Deployment &Fleet,
                   Record &Log)
    : Options_(std::move(Options)), Fleet_(Fleet), Log_(Log), Born_(unixMs()) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Bound = socketAddress({Options_.Address_, 0});
  socklen_t Length = sizeof(Bound);
  if (::bind(Listener_, reinterpret_cast<sockaddr *>(&Bound), Length) != 0 ||
      ::listen(Listener_, 390) != 0)
    cannotRun("an instance cannot listen on " + Options_.Address_);
  ::getsockname(Listener_, reinterpret_cast<sockaddr *>(&Bound), &Length);
  Address_ = {Options_.Address_, ntohs(Bound.sin_port)};
  Acceptor_ = std::thread([this] { accept(); });
}

Instance::~Instance() {
  stopHeartbeats();
  end();
  Acceptor_.join();
  for (std::thread &Session : Sessions_)
    Session.join();
}

void Instance::end() {
  if (HasEnded_.exchange(true))
    return;
  ::shutdown(Listener_, SHUT_RDWR);
  std::lock_guard Lock(Mutex_);
  for (int Socket : Sockets_)
    ::shutdown(Socket, SHUT_RDWR);
}

void Instance::accept() {
  while (!HasEnded_) {
    int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      break;
    std::lock_guard Lock(Mutex_);
    Sockets_.insert(Socket);
    Sessions_.emplace_back([this, Socket] {
      serve(Socket);
      std::lock_guard SessionLock(Mutex_);
      Sockets_.erase(Socket);
      ::close(Socket);
    });
  }
  ::close(Listener_);
}

void Instance::serve(int Socket) {
  std::string Buffer;
  while (auto Received = readMessage(Socket, Buffer, nowMs() + 10000)) {
    std::istringstream FirstLine(Received->FirstLine_);
    Arrival Seen;
    FirstLine >> Seen.Method_ >> Seen.Path_;
    Seen.At_ = nowMs();
    Seen.Instance_ = Options_.Id_;
    Seen.Service_ = Options_.Service_;
    Seen.RequestId_ = Received->Headers_["request-id"];
    std::string Reply;
    std::string Expected = Received->Headers_["expect-instance"];
    if (Seen.Path_ == "/health") {
      Reply = std::string("HTTP/1.1 ") +
              (IsDraining_ ? "503 Service Unavailable" : "200 OK") +
              "\r\nInstance-Id: " + Options_.Id_ +
              "\r\nContent-Length: 0\r\n\r\n";
    } else if (!Expected.empty() && Expected != Options_.Id_) {
      Reply =
          "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + Options_.Id_ +
          "\r\nContent-Length: 0\r\n\r\n";
    } else if (++Busy_ > 5 * Options_.Slots_) {
      --Busy_;
      Reply = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n";
    } else {
      Seen.HasRun_ = true;
      sleepMs(Options_.WorkMs_);
      --Busy_;
      std::string Body = "served by " + Options_.Service_ + " " + Options_.Id_;
      Reply = "HTTP/1.1 200 OK\r\nRequest-Id: " + Seen.RequestId_ +
              "\r\nResponse-Signature: " + Options_.Service_ + "." +
              Seen.RequestId_ +
              "\r\nContent-Length: " + std::to_string(Body.size()) +
              "\r\n\r\n" + Body;
    }
    if (Seen.Path_ != "/health") {
      Log_.line("instance " + Options_.Id_ + " of " + Options_.Service_ +
                (Seen.HasRun_ ? " ran " : " refused ") + Seen.Method_ + " " +
                Seen.Path_ + " id " + Seen.RequestId_);
      std::lock_guard Lock(Mutex_);
      Arrivals_.push_back(Seen);
    }
    if (!writeAll(Socket, Reply, nowMs() + 5000))
      return;
  }
}

std::vector<Arrival> Instance::arrivals() {
  std::lock_guard Lock(Mutex_);
  return Arrivals_;
}

std::string Instance::heartbeatBody(const std::string &State) {
  return R"({"Service":")" + Options_.Service_ + R"(","Address":")" +
         Address_.text() + R"(","Zone":")" + Options_.Zone_ +
         R"(","Version":"v1","Slots":)" + std::to_string(Options_.Slots_) +
         R"(,"State":")" + State + R"(","WarmupLeftS":0,"Seq":)" +
         std::to_string(++Seq_) + R"(,"born":)" + std::to_string(Born_) + "}";
}

void Instance::startHeartbeats() {
  IsBeating_ = true;
  Heart_ = std::thread([this] { beat(); });
}

void Instance::stopHeartbeats() {
  IsBeating_ = false;
  if (Heart_.joinable())
    Heart_.join();
}

void Instance::beat() {
  constexpr long HeartbeatMs = 1500;
  ControlCaller Caller(Fleet_, static_cast<unsigned>(Address_.Port_));
  while (IsBeating_) {
    long Next = nowMs() + HeartbeatMs;
    Call Heartbeat;
    Heartbeat.Method_ = "PUT";
    Heartbeat.Path_ = "/jaybridge/instances/" + Options_.Id_;
    Heartbeat.Headers_ = {"Content-Type: application/json"};
    Heartbeat.Body_ = heartbeatBody(IsDraining_ ? "draining" : "ready");
    Caller.call(Heartbeat, Next);
    while (IsBeating_ && nowMs() < Next)
      sleepMs(20);
  }
}

long Instance::drain(long GiveUpAtMs) {
  IsDraining_ = true;
  ControlCaller Caller(Fleet_, static_cast<unsigned>(Address_.Port_) + 1);
  Call Heartbeat;
  Heartbeat.Method_ = "PUT";
  Heartbeat.Path_ = "/jaybridge/instances/" + Options_.Id_;
  Heartbeat.Headers_ = {"Content-Type: application/json"};
  Heartbeat.Body_ = heartbeatBody("draining");
  Reply Result = Caller.call(Heartbeat, GiveUpAtMs);
  long At = nowMs();
  Log_.line("instance " + Options_.Id_ +
            " reported draining: " + std::to_string(Result.Status_));
  return Result.Status_ == 200 ? At : -1;
}

long Instance::leave(long GiveUpAtMs) {
  ControlCaller Caller(Fleet_, static_cast<unsigned>(Address_.Port_) + 2);
  Call Departure;
  Departure.Method_ = "DELETE";
  Departure.Path_ = "/jaybridge/instances/" + Options_.Id_;
  Reply Result = Caller.call(Departure, GiveUpAtMs);
  long At = nowMs();
  Log_.line("instance " + Options_.Id_ +
            " reported that it leaves: " + std::to_string(Result.Status_));
  return Result.Status_ == 200 ? At : -1;
}

Client::Client(const Deployment &Fleet, Record &Log, std::string Method,
               std::string Prefix, long PeriodMs)
    : Fleet_(Fleet), Log_(Log), Method_(std::move(Method)),
      Prefix_(std::move(Prefix)), PeriodMs_(PeriodMs) {
  Thread_ = std::thread([this] { run(); });
}
Client::~Client() { stop(); }

void Client::stop() {
  IsStopping_ = true;
  if (Thread_.joinable())
    Thread_.join();
  for (std::thread &Pending : Calls_)
    if (Pending.joinable())
      Pending.join();
}

std::vector<Client::Sent> Client::requests() {
  std::lock_guard Lock(Mutex_);
  return Requests_;
}

void Client::run() {
  constexpr long DeadlineMs = 4000;
  int Count = 0;
  while (!IsStopping_) {
    long Next = nowMs() + PeriodMs_;
    int Number = Count++;
    Calls_.emplace_back([this, Number] {
      Sent Request;
      Request.Gateway_ = Number % Fleet_.gatewayCount();
      Request.Path_ = Prefix_ + std::to_string(Number);
      Request.RequestId_ = Method_ + Prefix_ + std::to_string(Number);
      for (char &Character : Request.RequestId_)
        if (Character == '/')
          Character = '-';
      Request.SentAt_ = nowMs();
      Call Made;
      Made.Method_ = Method_;
      Made.Path_ = Request.Path_;
      Made.Headers_ = {"Host: shop.example",
                       "Request-Id: " + Request.RequestId_,
                       "Deadline-Ms: " + std::to_string(DeadlineMs)};
      if (Method_ == "POST")
        Made.Body_ = "order " + std::to_string(Number);
      Reply Result =
          send(Fleet_.callers(Request.Gateway_), Made, DeadlineMs + 500);
      Request.AnsweredAt_ = nowMs();
      Request.Status_ = Result.Status_;
      Request.IsSigned_ = Result.Headers_.contains("response-signature");
      Log_.line("client sent " + Method_ + " " + Request.Path_ +
                " to gateway " + std::to_string(Request.Gateway_) + " at " +
                std::to_string(Request.SentAt_) + " ms, answer " +
                std::to_string(Result.Status_) + " " +
                (Result.Status_ == 200 ? Result.Body_ : ""));
      std::lock_guard Lock(Mutex_);
      Requests_.push_back(Request);
    });
    sleepUntilMs(Next);
  }
}

} // namespace review
