#include "GatewayHarness.h"

namespace jaybridge {
namespace {

/// A gateway in front of eight instances, of which some reject all requests.
class PlacementTest : public testing::Test {
protected:
  explicit PlacementTest(Placement Mode = Placement::Cost)
      : Harness_(makeProfile(Repeatability::AtMostOnce), 8, SlotCount(6),
                 settings(Mode)) {}

  static GatewaySettings settings(Placement Mode) {
    GatewaySettings Settings = GatewayHarness::defaultSettings();
    Settings.Placement_ = Mode;
    return Settings;
  }

  /// Sends requests in intervals of 50 ms. Each attempt ends at once.
  void sendRequests(int Count, bool (*Rejects)(const InstanceId &)) {
    for (int Number = 0; Number < Count; ++Number) {
      Harness_.advanceTo(Harness_.Now_ + 50ms);
      Harness_.request(std::to_string(++RequestCount_));
      while (const auto *Sent = Harness_.last<SendAttempt>()) {
        ++Attempts_;
        bool IsRejected = Rejects(Sent->Instance_);
        Rejections_ += IsRejected ? 1 : 0;
        Harness_.finish(Sent->Attempt_,
                        makeOutcome(IsRejected ? AttemptResult::RefusedNotRun
                                               : AttemptResult::Answered));
        if (const auto *Changed = Harness_.last<CapacityChanged>())
          States_.push_back(Changed->IsShort_);
      }
      if (const Refusal *Refused = Harness_.refusal()) {
        Refusals_.push_back(*Refused);
        EXPECT_EQ(Refused->Outcome_, Outcome::NotRun);
      }
    }
  }

  GatewayHarness Harness_;
  int RequestCount_ = 0;
  int Attempts_ = 0;
  int Rejections_ = 0;
  std::vector<Refusal> Refusals_;
  std::vector<bool> States_;
};

bool rejectsAll(const InstanceId & /*Instance*/) { return true; }
bool rejectsNone(const InstanceId & /*Instance*/) { return false; }
bool rejectsMost(const InstanceId &Instance) {
  return Instance != InstanceId("i2") && Instance != InstanceId("i5");
}

// Guards against attempts on instances that reject them while others run them.
TEST_F(PlacementTest, PlacesRequestsFirstWhereTheyRun) {
  sendRequests(40, rejectsMost);
  Rejections_ = 0;
  Refusals_.clear();
  sendRequests(200, rejectsMost);
  EXPECT_LT(Rejections_, 60) << "one request in four looks for capacity";
  EXPECT_LE(Refusals_.size(), 10u);
}

// Guards against an attempt for each request while all of them are rejected,
// against refusals that all name the same time to return, and against missing
// the return of capacity.
TEST_F(PlacementTest, RejectsAtOnceWhileNothingRuns) {
  sendRequests(40, rejectsAll);
  Attempts_ = 0;
  Refusals_.clear();
  sendRequests(200, rejectsAll);
  EXPECT_LT(Attempts_, 60);
  EXPECT_GT(Attempts_, 5)
      << "single attempts must show whether capacity returns";
  ASSERT_EQ(Refusals_.size(), 200u);
  std::set<Duration> Delays;
  for (const Refusal &Refused : Refusals_)
    Delays.insert(Refused.RetryAfter_.value_or(0ms));
  EXPECT_GE(*Delays.begin(), 100ms);
  EXPECT_GT(Delays.size(), 100u);
  sendRequests(40, rejectsNone);
  Refusals_.clear();
  sendRequests(40, rejectsNone);
  EXPECT_EQ(Refusals_.size(), 0u);
  EXPECT_EQ(States_, (std::vector<bool>{true, false}));
}

} // namespace
} // namespace jaybridge
