#include "DutyFleet.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <future>

namespace jaybridge {
namespace {

struct SignalCase {
  const char *Name_;
  std::vector<int> Later_;
};

class PlannedStopTest : public testing::TestWithParam<SignalCase> {};

constexpr Duration LongestAction = 4s;

/// The service time of an action follows from the digit that ends its path.
Duration serviceTimeOf(const std::string &Target) {
  constexpr Duration Times[] = {500ms, 2500ms, LongestAction};
  return Times[static_cast<std::size_t>(Target.back() - '0') % 3];
}

// Guards against actions that are taken late in the grace period of a planned
// stop and get no answer when the process ends. Callers go on using the
// gateway until it closes their connections.
TEST_P(PlannedStopTest, AnswersEveryActionThatItTakes) {
  constexpr std::size_t Callers = 24;
  constexpr Duration StopAfter = 8s;
  constexpr Duration LastSend = 13s;
  DutyFleet Fleet(2);
  ASSERT_TRUE(Fleet.start());
  std::mutex Mutex;
  std::set<std::string> Ran;
  Fleet.addInstances(12, [&](const InstanceRequest &Received) -> InstanceReply {
    if (Received.Method_ == "POST") {
      {
        std::lock_guard Lock(Mutex);
        Ran.insert(Received.RequestId_);
      }
      std::this_thread::sleep_for(serviceTimeOf(Received.Target_));
    }
    return WriteBytes{signedResponse(Received, "done")};
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  std::vector<LoadRequest> Actions;
  for (Duration At{}; At < LastSend; At += LongestAction / (2 * Callers)) {
    Actions.push_back(Fleet.request(
        0, "POST", "/patient/" + std::to_string(Actions.size() * 7 % 10)));
    Actions.back().SendOffset_ = At;
  }
  std::vector<int> Signals = GetParam().Later_;
  Signals.insert(Signals.begin(), SIGTERM);
  std::size_t Sent = 0;
  const std::vector<LoadResponse> Responses =
      runLoad(Actions, [&](Duration Elapsed) {
        while (Sent < Signals.size() &&
               Elapsed >= StopAfter + static_cast<int>(Sent) * 1s)
          Fleet.signalGateway(0, Signals[Sent++]);
      });
  std::lock_guard Lock(Mutex);
  std::size_t Cut = 0;
  std::size_t FalselyRefused = 0;
  std::size_t Served = 0;
  for (std::size_t Index = 0; Index < Actions.size(); ++Index) {
    const std::string &Header = Actions[Index].Headers_[1];
    const bool HasRun = Ran.contains(Header.substr(Header.find(' ') + 1));
    const unsigned Status = Responses[Index].Status_;
    Cut += HasRun && Status == 0 ? 1 : 0;
    FalselyRefused += HasRun && Status == 503 ? 1 : 0;
    Served += Status == 200 ? 1 : 0;
  }
  EXPECT_EQ(Cut, 0U) << "actions that ran and got no answer";
  EXPECT_EQ(FalselyRefused, 0U) << "actions that ran and were refused";
  EXPECT_GE(Served, Actions.size() / 4);
  RecordProperty("served", static_cast<int>(Served));
}

INSTANTIATE_TEST_SUITE_P(Signals, PlannedStopTest,
                         testing::Values(SignalCase{"Once", {}},
                                         SignalCase{"Twice", {SIGTERM}},
                                         SignalCase{"ThenReload", {SIGHUP}}),
                         CaseName());

struct GatewayGraceCase {
  const char *Name_;
  const char *Flag_;
};

class GatewayGraceTest : public testing::TestWithParam<GatewayGraceCase> {};

// Guards against a gateway that outlasts a short or fractional grace period.
TEST_P(GatewayGraceTest, AnswersTheCallerOfAnInstanceThatIsStillAtWork) {
  std::promise<void> Stopped;
  std::shared_future<void> IsStopped = Stopped.get_future().share();
  std::atomic<bool> IsAtWork = false;
  DutyFleet Fleet(1, {GetParam().Flag_});
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(1, [&](const InstanceRequest &Received) -> InstanceReply {
    if (Received.Method_ == "POST") {
      IsAtWork = true;
      IsStopped.wait();
    }
    return WriteBytes{signedResponse(Received, "done")};
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  bool HasSignaled = false;
  const std::vector<LoadResponse> Responses =
      runLoad({Fleet.request(0, "POST", "/patient/0")}, [&](Duration) {
        if (IsAtWork && !std::exchange(HasSignaled, true))
          Fleet.signalGateway(0, SIGTERM);
      });
  const bool HasEnded = Fleet.waitUntilGatewayEnds(0);
  Stopped.set_value();
  EXPECT_TRUE(HasEnded);
  EXPECT_EQ(Responses[0].Status_, 504U);
}

INSTANTIATE_TEST_SUITE_P(
    Periods, GatewayGraceTest,
    testing::Values(GatewayGraceCase{"Least", "--grace-ms=100"},
                    GatewayGraceCase{"Short", "--grace-ms=700"},
                    GatewayGraceCase{"Fraction", "--grace-ms=2500.5"}),
    CaseName());

} // namespace
} // namespace jaybridge
