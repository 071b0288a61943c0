#include "Fleet.hh"

#include "Record.hh"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace review {

namespace {

constexpr const char *Zones[] = {"shah-alam", "petaling-jaya", "klang-utara"};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

Process::Process(const std::vector<std::string> &Words,
                 const std::string &LogFile) {
  std::vector<char *> Arguments;
  for (const std::string &Word : Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  const int Log =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  Id_ = ::fork();
  if (Id_ == 0) {
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }
  ::close(Log);
}

bool Process::isRunning() {
  if (Id_ > 0 && ::waitpid(Id_, nullptr, WNOHANG) == Id_)
    Id_ = -1;
  return Id_ > 0;
}

void Process::signal(int Number) const {
  if (Id_ > 0)
    ::kill(Id_, Number);
}

void Process::kill() {
  if (Id_ <= 0)
    return;
  ::kill(Id_, SIGCONT);
  ::kill(Id_, SIGKILL);
  ::waitpid(Id_, nullptr, 0);
  Id_ = -1;
}

void Process::terminate(double GraceSeconds) {
  signal(SIGTERM);
  const double End = now() + GraceSeconds;
  while (isRunning() && now() < End)
    sleepFor(0.02);
  kill();
}

std::size_t Process::memory() const {
  std::ifstream File("/proc/" + std::to_string(Id_) + "/statm");
  std::size_t Pages = 0;
  std::size_t Resident = 0;
  File >> Pages >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

Fleet::Fleet(FleetSettings Settings) : Settings_(Settings) {
  if (!std::filesystem::exists("deploy/system.toml") ||
      !std::filesystem::exists("target/Services/jaybridged/jaybridged"))
    std::exit(finish(Verdict::NotRun, "the programs are not built"));
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Template.data()) == nullptr)
    std::exit(static_cast<int>(Verdict::NotRun));
  Folder_ = Template;
  std::set<int> Ports;
  while (Ports.size() < 4)
    Ports.insert(findFreePort());
  auto Next = Ports.begin();
  PeerPort_ = *Next++;
  ControlPort_ = *Next++;
  FrontPort_ = *Next++;
  ReadinessPort_ = *Next;
  Seeds_ = {0, 1, 2};
}

Fleet::~Fleet() {
  Gateways_.clear();
  Controls_.clear();
  std::error_code Ignored;
  // The logs are kept for a look at what happened, if that is asked for.
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder_, Ignored);
}

std::string Fleet::zone(std::size_t Index) { return Zones[Index % 3]; }

Address Fleet::controlAddress(std::size_t Index) const {
  return {"127.61." + std::to_string(Index + 1) + ".1", ControlPort_};
}

Address Fleet::frontAddress(std::size_t Index) const {
  return {"127.62." + std::to_string(Index + 1) + ".1", FrontPort_};
}

Address Fleet::readinessAddress(std::size_t Index) const {
  return {frontAddress(Index).Ip_, ReadinessPort_};
}

Address Fleet::nextInstanceAddress() {
  ++Instances_;
  return {"127.63.0." + std::to_string(Instances_), findFreePort()};
}

std::vector<Address> Fleet::callable() const {
  std::vector<Address> List;
  for (const auto &[Index, Member] : Controls_)
    List.push_back(controlAddress(Index));
  return List;
}

std::string
Fleet::render(const std::string &Template,
              const std::map<std::string, std::string> &Values) const {
  std::string Text = readFile(Template);
  auto Replace = [&](const std::string &From, const std::string &To) {
    for (std::size_t At = Text.find(From); At != std::string::npos;
         At = Text.find(From, At + To.size()))
      Text.replace(At, From.size(), To);
  };
  // All sections of the templates depend on values that are present here.
  for (const auto &[Name, Value] : Values) {
    Replace("{{#" + Name + "}}", "");
    Replace("{{/" + Name + "}}", "");
    Replace("{{" + Name + "}}", Value);
  }
  return Text;
}

std::vector<std::string> Fleet::commandOf(const std::string &Role,
                                          const std::string &File) const {
  const std::string Deploy = readFile("deploy/system.toml");
  const std::size_t Section = Deploy.find("[roles." + Role + "]");
  const std::size_t Start = Deploy.find("run = \"", Section) + 7;
  std::string Run = Deploy.substr(Start, Deploy.find('"', Start) - Start);
  const std::string Settings = "/etc/jaybridge/node.toml";
  Run.replace(Run.find(Settings), Settings.size(), File);
  std::vector<std::string> Words;
  std::stringstream Stream(Run);
  for (std::string Word; Stream >> Word;)
    Words.push_back(Word);
  return Words;
}

std::map<std::string, std::string>
Fleet::commonValues(const std::string &Name, const std::string &Ip,
                    std::size_t Index) const {
  std::string Seeds;
  for (std::size_t Seed : Seeds_)
    Seeds += (Seeds.empty() ? "" : ",") + controlAddress(Seed).text();
  return {{"NodeName", Name},
          {"Zone", zone(Index)},
          {"Ip", Ip},
          {"PortRange.0", std::to_string(PeerPort_)},
          {"Seeds", Seeds},
          {"Bounds.GraceS", std::to_string(static_cast<int>(GraceS))},
          {"Bounds.RetryBudgetSlack", "62"},
          {"Limits.MemoryMb", std::to_string(Settings_.MemoryMb_)}};
}

void Fleet::startControl(std::size_t Index, bool IsBootstrap) {
  const std::string Name = "core-" + std::to_string(Index + 1);
  auto Values = commonValues(Name, controlAddress(Index).Ip_, Index);
  Values["Listen.Control"] = controlAddress(Index).text();
  Values["DataDir"] = Folder_ + "/" + Name + ".data";
  Values["Bootstrap"] = IsBootstrap ? "true" : "false";
  const std::string File = Folder_ + "/" + Name + ".flags";
  std::ofstream(File) << render("platform/control.flags", Values);
  Controls_[Index] =
      Process(commandOf("control", File), Folder_ + "/" + Name + ".log");
  record("starts " + Name + " at " + controlAddress(Index).text());
}

void Fleet::startGateway(std::size_t Index) {
  const std::string Name = "edge-" + std::to_string(Index + 1);
  auto Values = commonValues(Name, frontAddress(Index).Ip_, Index);
  Values["Listen.Front"] = frontAddress(Index).text();
  Values["Listen.ReadinessAddr"] = readinessAddress(Index).text();
  const std::string File = Folder_ + "/" + Name + ".flags";
  std::ofstream(File) << render("platform/gateway.flags", Values);
  Gateways_[Index] =
      Process(commandOf("gateway", File), Folder_ + "/" + Name + ".log");
  record("starts " + Name + " at " + frontAddress(Index).text());
}

void Fleet::startAll() {
  for (std::size_t Index = 0; Index < Settings_.ControlMembers_; ++Index)
    startControl(Index, true);
  for (std::size_t Index = 0; Index < Settings_.Gateways_; ++Index)
    startGateway(Index);
}

void Fleet::wipe(std::size_t Index) const {
  std::filesystem::remove_all(Folder_ + "/core-" + std::to_string(Index + 1) +
                              ".data");
}

Reply Operator::callOnce(const std::string &Method, const std::string &Body) {
  const std::vector<Address> List = System_.callable();
  Call Sent;
  Sent.To_ = List[Next_++ % List.size()];
  Sent.Method_ = Method;
  Sent.Path_ = "/jaybridge/config";
  Sent.Headers_ = {"Host: " + Sent.To_.text(),
                   "Content-Type: application/json"};
  Sent.Body_ = Body;
  Reply Received = send(Sent);
  for (int Redirects = 0; Received.Status_ == 307 && Redirects < 2;
       ++Redirects) {
    const std::string Location = Received.Message_.header("Location");
    const std::size_t Colon = Location.find(':', 7);
    Sent.To_ = {Location.substr(7, Colon - 7),
                std::atoi(Location.c_str() + Colon + 1)};
    Received = send(Sent);
  }
  return Received;
}

int Operator::put(const std::string &Configuration, double Seconds) {
  const double End = now() + Seconds;
  double Delay = 0.1;
  int Status = 0;
  while (now() < End) {
    Status = callOnce("PUT", Configuration).Status_;
    if (Status == 200 ||
        (Status >= 400 && Status < 500 && Status != 408 && Status != 429))
      break;
    sleepFor(Delay);
    Delay = std::min(1.0, Delay * 1.5);
  }
  record("operator: PUT of the configuration, last status " +
         std::to_string(Status));
  return Status;
}

int Operator::get(double Seconds, std::string &Body) {
  const double End = now() + Seconds;
  int Status = 0;
  while (now() < End) {
    const Reply Received = callOnce("GET", "");
    Status = Received.Status_;
    record("operator: GET of the configuration, status " +
           std::to_string(Status));
    if (Status == 200) {
      Body = Received.Message_.Body_;
      return Status;
    }
    sleepFor(0.5);
  }
  return Status;
}

std::string configuration(int Version, const std::vector<RouteLine> &Routes) {
  std::string Table;
  std::set<std::string> Services;
  for (const RouteLine &Route : Routes) {
    Services.insert(Route.Service_);
    Table += (Table.empty() ? "" : ",") + std::string("\"") + Route.Name_ +
             R"(":{"Host":"h.example","PathPrefix":"/)" + Route.Name_ +
             R"(/","Kind":")" + Route.Kind_ + R"(","TimeoutS":)" +
             std::to_string(Route.TimeoutMs_) +
             R"(,"TargetLatencyS":1000,"Priority":1,"Service":")" +
             Route.Service_ + R"(","MaxAttempts":2})";
  }
  std::string List;
  for (const std::string &Service : Services)
    List += (List.empty() ? "\"" : ",\"") + Service +
            R"(":{"HealthPath":"/health","MaxConns":390,"Protocol":"h1",)"
            R"("Tls":false})";
  return "{\"Version\":" + std::to_string(Version) + ",\"Routes\":{" + Table +
         "},\"Services\":{" + List +
         R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutS":3000,"IdleTimeoutS":15000}})";
}

bool waitUntilReady(const Fleet &System, std::size_t Gateways) {
  const double End = now() + 20;
  for (std::size_t Index = 0; Index < Gateways; ++Index) {
    Call Question;
    Question.To_ = System.readinessAddress(Index);
    Question.Method_ = "GET";
    Question.Path_ = "/jaybridge/readiness";
    Question.Headers_ = {"Host: " + Question.To_.text()};
    while (send(Question).Status_ != 200) {
      if (now() > End)
        return false;
      sleepFor(0.1);
    }
  }
  return true;
}

} // namespace review
