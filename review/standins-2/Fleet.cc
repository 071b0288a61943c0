#include "Fleet.hh"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/Services/jaybridged/jaybridged";
const std::vector<std::string> Zones = {"shah-alam", "petaling-jaya",
                                        "klang-utara"};
constexpr Seconds HeartbeatInterval{1.5};
constexpr Seconds ControlTimeout{1.0};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void sleepFor(Seconds Time) { std::this_thread::sleep_for(Time); }

/// Host and port of a Location, and its path.
std::pair<std::string, std::string> splitLocation(const std::string &Location) {
  const std::string Scheme = "http://";
  const std::size_t Start =
      Location.rfind(Scheme, 0) == 0 ? Scheme.size() : std::size_t(0);
  const std::size_t Slash = Location.find('/', Start);
  if (Slash == std::string::npos)
    return {Location.substr(Start), "/"};
  return {Location.substr(Start, Slash - Start), Location.substr(Slash)};
}

/// A call of the control plane: follows two redirects.
std::optional<Message> callControl(std::string Address,
                                   const std::string &Method,
                                   std::string Target, const std::string &Body,
                                   Seconds Timeout) {
  std::optional<Message> Answered;
  for (int Step = 0; Step < 3; ++Step) {
    Answered = call(Address, Method, Target,
                    {{"Host", Address}, {"Content-Type", "application/json"}},
                    Body, Timeout);
    if (!Answered || Answered->status() != 307)
      break;
    std::tie(Address, Target) = splitLocation(Answered->valueOf("Location"));
  }
  return Answered;
}

} // namespace

Record::Record(const std::string &Path) : File_(Path) {}

void Record::line(const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  char Stamp[32];
  std::snprintf(Stamp, sizeof(Stamp), "%8.3f ", elapsed().count());
  File_ << Stamp << Text << std::endl;
}

std::string fillIn(std::string Template, const Fields &Values) {
  std::size_t Start = 0;
  while ((Start = Template.find("{{", Start)) != std::string::npos) {
    const std::size_t End = Template.find("}}", Start);
    std::string Name = Template.substr(Start + 2, End - Start - 2);
    const bool IsSection = Name.front() == '#';
    const auto Found = Values.find(IsSection ? Name.substr(1) : Name);
    if (!IsSection) {
      Template.replace(Start, End + 2 - Start,
                       Found == Values.end() ? "" : Found->second);
      continue;
    }
    const std::string Closing = "{{/" + Name.substr(1) + "}}";
    const std::size_t Close = Template.find(Closing, End);
    const std::string Inner = Template.substr(End + 2, Close - End - 2);
    Template.replace(Start, Close + Closing.size() - Start,
                     Found == Values.end() ? "" : Inner);
  }
  return Template;
}

Process::Process(std::string Name, Fields Settings, std::string Template,
                 std::string Folder)
    : Name_(std::move(Name)), Settings_(std::move(Settings)),
      Template_(std::move(Template)), Folder_(std::move(Folder)) {}

Process::~Process() {
  if (Id_ > 0 && !hasEnded()) {
    signal(SIGCONT);
    kill();
  }
}

void Process::start() {
  const std::string SettingsPath = Folder_ + "/" + Name_ + ".flags";
  std::ofstream(SettingsPath) << fillIn(Template_, Settings_);
  const std::string Flag = "--flagfile=" + SettingsPath;
  const std::string Log = logPath();
  Status_.reset();
  Id_ = ::fork();
  if (Id_ != 0)
    return;
  // Nothing outlives the case.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  ::execl(Program, Program, Flag.c_str(), nullptr);
  ::_exit(127);
}

void Process::signal(int Number) const {
  if (Id_ > 0 && !Status_)
    ::kill(Id_, Number);
}

void Process::kill() {
  if (Id_ <= 0 || Status_)
    return;
  ::kill(Id_, SIGKILL);
  int Status = 0;
  ::waitpid(Id_, &Status, 0);
  Status_ = Status;
}

bool Process::hasEnded() {
  if (Id_ <= 0 || Status_)
    return true;
  int Status = 0;
  if (::waitpid(Id_, &Status, WNOHANG) != Id_)
    return false;
  Status_ = Status;
  return true;
}

std::string Process::end() const {
  if (!Status_)
    return "running";
  if (WIFSIGNALED(*Status_))
    return "signal " + std::to_string(WTERMSIG(*Status_));
  return "exit code " + std::to_string(WEXITSTATUS(*Status_));
}

std::size_t Process::memory() const {
  std::ifstream Status("/proc/" + std::to_string(Id_) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (Status >> Word)
    if (Word == "VmRSS:") {
      Status >> Kilobytes;
      break;
    }
  return Kilobytes * 1024;
}

int Fleet::freePort() {
  static std::set<int> Given;
  while (true) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    socklen_t Length = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    const bool IsKnown = ::bind(Socket, Generic, Length) == 0 &&
                         ::getsockname(Socket, Generic, &Length) == 0;
    ::close(Socket);
    const int Port = ntohs(Address.sin_port);
    if (IsKnown && Given.insert(Port).second)
      return Port;
  }
}

Fleet::Fleet(Record &Written, std::size_t CoreCount, std::size_t EdgeCount)
    : Record_(Written), PeerPort_(freePort()), ControlPort_(freePort()),
      FrontPort_(freePort()), ReadinessPort_(freePort()),
      CoreTemplate_(readFile("platform/control.flags")),
      EdgeTemplate_(readFile("platform/gateway.flags")) {
  std::string Path =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  Folder_ = ::mkdtemp(Path.data());
  // A network of its own for each run.
  Net_ = "127." + std::to_string(100 + ::getpid() % 100) + ".";
  for (std::size_t Index = 0; Index < CoreCount; ++Index)
    CoreIps_.push_back(Net_ + std::to_string(Index % Zones.size() + 1) + "." +
                       std::to_string(Index + 10));
  for (std::size_t Index = 0; Index < CoreCount; ++Index) {
    const std::string Name = "core-" + std::to_string(Index + 1);
    Fields Settings =
        commonSettings(Name, Zones[Index % Zones.size()], CoreIps_[Index]);
    Settings["Listen.Control"] = controlAddress(Index);
    Settings["DataDir"] = Folder_ + "/" + Name + ".data";
    Settings["Limits.MemoryMb"] = "256";
    Cores_.push_back(
        std::make_unique<Process>(Name, Settings, CoreTemplate_, Folder_));
  }
  for (std::size_t Index = 0; Index < EdgeCount; ++Index) {
    const std::string Name = "edge-" + std::to_string(Index + 1);
    EdgeIps_.push_back(Net_ + std::to_string(Index % Zones.size() + 1) + "." +
                       std::to_string(Index + 100));
    Fields Settings =
        commonSettings(Name, Zones[Index % Zones.size()], EdgeIps_[Index]);
    Settings["Listen.Front"] = callerAddress(Index);
    Settings["Listen.ReadinessAddr"] = readinessAddress(Index);
    Settings["Limits.MemoryMb"] = "260";
    Edges_.push_back(
        std::make_unique<Process>(Name, Settings, EdgeTemplate_, Folder_));
  }
}

Fleet::~Fleet() {
  Edges_.clear();
  Cores_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string Fleet::seeds() const {
  std::string Text;
  for (std::size_t Index = 0; Index < std::min<std::size_t>(3, CoreIps_.size());
       ++Index)
    Text += (Index > 0 ? "," : "") + controlAddress(Index);
  return Text;
}

Fields Fleet::commonSettings(const std::string &Name, const std::string &Zone,
                             const std::string &Ip) const {
  return {{"NodeName", Name},
          {"Zone", Zone},
          {"Ip", Ip},
          {"PortRange.0", std::to_string(PeerPort_)},
          {"Seeds", seeds()},
          {"Bootstrap", "true"},
          {"Bounds.GraceS", "6"},
          {"Bounds.RetryBudgetSlack", "62"}};
}

void Fleet::setOnEdges(const std::string &Field, const std::string &Value) {
  for (auto &Each : Edges_)
    Each->settings()[Field] = Value;
}

void Fleet::setOnAll(const std::string &Field, const std::string &Value) {
  setOnEdges(Field, Value);
  for (auto &Each : Cores_)
    Each->settings()[Field] = Value;
}

void Fleet::startAll() {
  for (auto &Each : Cores_)
    Each->start();
  for (auto &Each : Edges_)
    Each->start();
}

Process &Fleet::addCore(bool IsFirstStart) {
  const std::size_t Index = Cores_.size();
  CoreIps_.push_back(Net_ + std::to_string(Index % Zones.size() + 1) + "." +
                     std::to_string(Index + 10));
  const std::string Name = "core-" + std::to_string(Index + 1);
  Fields Settings =
      commonSettings(Name, Zones[Index % Zones.size()], CoreIps_[Index]);
  Settings["Listen.Control"] = controlAddress(Index);
  Settings["DataDir"] = Folder_ + "/" + Name + ".data";
  Settings["Bootstrap"] = IsFirstStart ? "true" : "false";
  Cores_.push_back(
      std::make_unique<Process>(Name, Settings, CoreTemplate_, Folder_));
  return *Cores_.back();
}

std::string Fleet::controlAddress(std::size_t Core) const {
  return CoreIps_[Core] + ":" + std::to_string(ControlPort_);
}
std::string Fleet::callerAddress(std::size_t Edge) const {
  return EdgeIps_[Edge] + ":" + std::to_string(FrontPort_);
}
std::string Fleet::readinessAddress(std::size_t Edge) const {
  return EdgeIps_[Edge] + ":" + std::to_string(ReadinessPort_);
}

bool Fleet::isReady(std::size_t Edge) const {
  const auto Answered = call(readinessAddress(Edge), "GET",
                             "/jaybridge/readiness", {}, "", ControlTimeout);
  return Answered && Answered->status() == 200;
}

bool Fleet::waitUntilReady(Seconds Timeout) const {
  const TimePoint End = now() + Timeout;
  for (std::size_t Edge = 0; Edge < Edges_.size(); ++Edge)
    while (!isReady(Edge)) {
      if (now() >= End)
        return false;
      sleepFor(Seconds(0.1));
    }
  return true;
}

int Fleet::order(const std::string &Method, const std::string &Target,
                 const std::string &Body, Seconds Timeout,
                 std::string *Answer) {
  const TimePoint End = now() + Timeout;
  Seconds Pause{0.1};
  for (std::size_t Try = 0; now() < End; ++Try) {
    const std::size_t Core = Try % Cores_.size();
    const auto Answered =
        callControl(controlAddress(Core), Method, Target, Body, ControlTimeout);
    const int Status = Answered ? Answered->status() : 0;
    std::string Line = "operator " + Method + " ";
    Line += Target + " to " + Cores_[Core]->name() + ": ";
    Line += Answered ? std::to_string(Status) : "no answer";
    Record_.line(Line);
    if (Status == 200 ||
        (Status >= 400 && Status < 500 && Status != 408 && Status != 429)) {
      if (Answer != nullptr)
        *Answer = Answered->Body_;
      return Status;
    }
    sleepFor(Pause);
    Pause = std::min(Seconds(1), 1.5 * Pause);
  }
  return 0;
}

Instance::Instance(Fleet &Announced, InstanceSettings Settings,
                   Behaviour Respond)
    : Fleet_(Announced), Settings_(std::move(Settings)),
      Respond_(std::move(Respond)),
      Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  Server_ = std::make_unique<Server>(
      Settings_.Address_, [this](Connection &Incoming) { serve(Incoming); });
  Beats_ = std::thread([this] { beat(); });
}

Instance::~Instance() { stop(); }

void Instance::stop() {
  IsStopping_ = true;
  if (Beats_.joinable())
    Beats_.join();
  Server_.reset();
}

std::string Instance::announcement(const std::string &State) const {
  return R"({"Service":")" + Settings_.Service_ + R"(","Address":")" +
         Settings_.Address_ + R"(","Zone":")" + Settings_.Zone_ +
         R"(","Version":"v1","Slots":)" + std::to_string(Settings_.Slots_) +
         R"(,"State":")" + State + R"(","WarmupLeftS":0,"Seq":)" +
         std::to_string(Sequence_) + R"(,"born":)" + std::to_string(Born_) +
         "}";
}

void Instance::beat() {
  std::optional<std::string> Preferred;
  std::size_t Next = std::hash<std::string>()(Settings_.Id_);
  while (!IsStopping_) {
    ++Sequence_;
    bool IsAcknowledged = false;
    for (std::size_t Try = 0;
         !IsAcknowledged && !IsStopping_ && Try < Fleet_.coreCount() + 1;
         ++Try) {
      const std::string Address =
          Preferred ? *Preferred
                    : Fleet_.controlAddress(Next++ % Fleet_.coreCount());
      const auto Answered =
          callControl(Address, "PUT", "/jaybridge/instances/" + Settings_.Id_,
                      announcement("ready"), ControlTimeout);
      IsAcknowledged = Answered && Answered->status() == 200;
      if (!IsAcknowledged) {
        Preferred.reset();
        continue;
      }
      ++Acknowledged_;
      const std::string Key = "\"HeartbeatUrl\":\"";
      if (const std::size_t Found = Answered->Body_.find(Key);
          Found != std::string::npos) {
        const std::size_t Start = Found + Key.size();
        Preferred = Answered->Body_.substr(
            Start, Answered->Body_.find('"', Start) - Start);
      }
    }
    const TimePoint Due = now() + HeartbeatInterval;
    while (!IsStopping_ && now() < Due)
      sleepFor(Seconds(0.02));
  }
}

void Instance::serve(Connection &Incoming) {
  constexpr Seconds IdleTimeout{10};
  constexpr Seconds Poll{0.05};
  TimePoint IdleEnd = now() + IdleTimeout;
  while (!IsStopping_ && now() < IdleEnd) {
    if (!Incoming.waitReadable(Poll))
      continue;
    const auto Request = Incoming.read(now() + IdleTimeout);
    if (!Request || !respond(Incoming, *Request))
      return;
    IdleEnd = now() + IdleTimeout;
  }
}

bool Instance::respond(Connection &Incoming, const Message &Request) {
  constexpr Seconds WriteTimeout{60};
  const std::string Id = Request.valueOf("Request-Id");
  const std::string Load = std::to_string(Running_) + "," +
                           std::to_string(Waiting_) + "," +
                           std::to_string(Settings_.Slots_);
  auto Answer = [&](int Status, std::vector<Header> Headers,
                    const std::string &Body) {
    Headers.push_back({"Request-Id", Id});
    Headers.push_back({"Server-Load", Load});
    return Incoming.send(responseText(Status, Headers, Body),
                         now() + WriteTimeout);
  };
  auto Refuse = [&](int Status) {
    return Answer(Status, {{"Not-Executed", "1"}}, "not executed");
  };
  if (Request.target() == "/health")
    return Answer(200, {{"Instance-Id", Settings_.Id_}}, "");
  if (const std::string *Expected = Request.find("Expect-Instance");
      Expected != nullptr && *Expected != Settings_.Id_)
    return Refuse(421);
  if (Id.empty())
    return Refuse(400);
  const std::string *DeadlineText = Request.find("Deadline-Ms");
  const Seconds Allowed(
      DeadlineText != nullptr ? std::atof(DeadlineText->c_str()) / 1000 : 60);
  const TimePoint Deadline = now() + Allowed;
  if (!takeSlot(Incoming, Deadline))
    return !Incoming.isClosedByPeer() && Refuse(503);
  const Arrival Arrived{Request, Id, Settings_.Id_, now()};
  const Reply Replied = Respond_(Arrived);
  if (Replied.Crashes_) {
    HasCrashed_ = true;
    IsStopping_ = true;
    Incoming.reset();
    return false;
  }
  const TimePoint End = std::min(Deadline, Arrived.At_ + Replied.Work_);
  bool IsDropped = false;
  while (!IsDropped && !IsStopping_ && now() < End) {
    sleepFor(std::min(Seconds(0.02), End - now()));
    IsDropped = Incoming.isClosedByPeer();
  }
  --Running_;
  if (IsDropped || IsStopping_)
    return false;
  if (now() >= Deadline)
    return Answer(504, {{"Response-Signature", "late." + Id}}, "too late");
  return Answer(Replied.Status_, {{"Response-Signature", "signed." + Id}},
                Replied.Body_);
}

bool Instance::takeSlot(Connection &Incoming, TimePoint Deadline) {
  if (++Waiting_ > Settings_.Queue_ + 1) {
    --Waiting_;
    return false;
  }
  bool IsTaken = false;
  while (!IsTaken && !IsStopping_ && now() < Deadline &&
         !Incoming.isClosedByPeer()) {
    int Now = Running_;
    while (!IsTaken && Now < Settings_.Slots_)
      IsTaken = Running_.compare_exchange_weak(Now, Now + 1);
    if (!IsTaken)
      sleepFor(Seconds(0.002));
  }
  --Waiting_;
  return IsTaken;
}

std::string configurationText(int Version,
                              const std::vector<RouteText> &Routes) {
  std::string Routed;
  std::set<std::string> Services;
  for (const RouteText &Route : Routes) {
    Routed += (Routed.empty() ? "" : ",") + ("\"" + Route.Name_) +
              R"(":{"Host":"h.example","PathPrefix":"/)" + Route.Name_ +
              R"(/","Kind":")" + Route.Kind_ + R"(","TimeoutS":)" +
              std::to_string(Route.TimeoutMs_) +
              R"(,"TargetLatencyS":1000,"Priority":1,"Service":")" +
              Route.Service_ + R"(","MaxAttempts":2})";
    Services.insert(Route.Service_);
  }
  std::string Served;
  for (const std::string &Name : Services)
    Served += (Served.empty() ? "" : ",") + ("\"" + Name) +
              R"(":{"HealthPath":"/health","MaxConns":390,"Protocol":"h1",)"
              R"("Tls":false})";
  return R"({"Version":)" + std::to_string(Version) + R"(,"Routes":{)" +
         Routed + R"(},"Services":{)" + Served +
         R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutS":3000,"IdleTimeoutS":15000}})";
}

std::vector<Header> requestHeaders(const std::string &Id, int DeadlineMs) {
  return {{"Host", "h.example"},
          {"Request-Id", Id},
          {"Deadline-Ms", std::to_string(DeadlineMs)}};
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::strcmp(Value, "0") != 0;
}

} // namespace review
