// Disks of the core are lost one after the other, each after the machine before
// has had its time to catch up.
#include "Harness.hh"

#include <csignal>
#include <filesystem>

using namespace review;

namespace {

constexpr int CoreCount = 5;
/// Address of the machine that is added to the core.
constexpr int Added = 5;
constexpr int GatewayCount = 2;
constexpr long CatchUpMs = 4000;
constexpr long DownMs = 1300;
constexpr long RecoverMs = 15000;

std::string document(int Version) {
  return "{\"Version\":" + std::to_string(Version) +
         R"(,"Routes":{"r-0":{"Host":"shop.example","PathPrefix":"/r0/",)"
         R"("Kind":"safe","TimeoutS":3000,"TargetLatencyS":1000,)"
         R"("Priority":1,"Service":"stock","MaxAttempts":2}},)"
         R"("Services":{"stock":{"HealthPath":"/health","MaxConns":390,)"
         R"("Protocol":"h1","Tls":false}},"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":67108864,"HeaderTimeoutS":3000,)"
         R"("IdleTimeoutS":15000}})";
}

class Run {
public:
  explicit Run(Record &Log)
      : Log_(Log), Fleet_(CoreCount + 1, GatewayCount), Operator_(Fleet_, 1) {}

  bool play() {
    for (int Index = 0; Index < CoreCount; ++Index)
      Fleet_.startControl(Index, true);
    for (int Index = 0; Index < GatewayCount; ++Index)
      Fleet_.startGateway(Index);
    if (!change(20000))
      cannotRun("the first configuration is not accepted");
    sleepMs(8000); // The other two members join.
    if (!change(4000))
      cannotRun("there is no leader");

    Log_.line("machine 5 is added to the core, to replace machine 4");
    Fleet_.startControl(Added, false);
    long AddedAt = nowMs();
    sleepMs(2200);
    loseDisk(Added);
    long CaughtUpAt = nowMs() + CatchUpMs;
    change(4000);
    sleepUntilMs(CaughtUpAt);
    Log_.line("machine 4 is removed with SIGTERM, " +
              std::to_string(nowMs() - AddedAt) +
              " ms after its successor started");
    Fleet_.control(4).signal(SIGTERM);
    Fleet_.control(4).wait();
    for (int Machine : {3, 2}) {
      sleepMs(CatchUpMs + 500);
      change(4000);
      loseDisk(Machine);
    }
    sleepMs(CatchUpMs);
    change(4000);
    sleepMs(RecoverMs);
    Call Read;
    Read.Path_ = "/jaybridge/config";
    long Until = nowMs() + 20000;
    Reply Content = Operator_.call(Read, Until);
    Log_.line("configuration read back: " + std::to_string(Content.Status_) +
              " " + Content.Body_);
    if (Content.Status_ != 200) {
      Log_.line("CONFIG broken: version " + std::to_string(Acknowledged_) +
                " was acknowledged, and no configuration comes for 20 s");
      return false;
    }
    bool IsKnown = Content.Body_.rfind("{\"Version\":", 0) == 0 &&
                   std::atoi(Content.Body_.c_str() + 11) >= Acknowledged_;
    if (!IsKnown)
      Log_.line("CONFIG broken: version " + std::to_string(Acknowledged_) +
                " was acknowledged, and an older one comes");
    return IsKnown;
  }

private:
  bool change(long PatienceMs) {
    Call Put;
    Put.Method_ = "PUT";
    Put.Path_ = "/jaybridge/config";
    Put.Headers_ = {"Content-Type: application/json"};
    Put.Body_ = document(++Version_);
    Reply Result = Operator_.call(Put, nowMs() + PatienceMs);
    Log_.line("operator sent version " + std::to_string(Version_) +
              ", answer " + std::to_string(Result.Status_));
    if (Result.Status_ == 200)
      Acknowledged_ = Version_;
    return Result.Status_ == 200;
  }

  /// The machine goes down and comes back with an empty disk.
  void loseDisk(int Machine) {
    if (!hasTrouble()) {
      sleepMs(DownMs);
      return;
    }
    Log_.line("machine " + std::to_string(Machine) +
              " goes down and loses its disk");
    Fleet_.control(Machine).signal(SIGKILL);
    Fleet_.control(Machine).wait();
    std::filesystem::remove_all(Fleet_.folder() + "/core-" +
                                std::to_string(Machine) + ".data");
    sleepMs(DownMs);
    Log_.line("machine " + std::to_string(Machine) + " is back");
    Fleet_.startControl(Machine, false);
  }

  Record &Log_;
  Deployment Fleet_;
  ControlCaller Operator_;
  int Version_ = 0;
  int Acknowledged_ = 0;
};

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  bool HasHeld = Run(Log).play();
  Log.line(HasHeld ? "result: held" : "result: broken");
  return HasHeld ? 0 : 1;
}
