#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

using std::chrono::seconds;

struct FloorCase {
  const char *Name_;
  std::uint64_t Serving_;
  std::uint32_t Floor_;
  std::uint64_t Permitted_;
};

class FloorTest : public testing::TestWithParam<FloorCase> {};

// Guards against rounding that takes one instance too many.
TEST_P(FloorTest, PermitsOnlyWhatTheFloorLeaves) {
  EXPECT_EQ(permittedEjections(EventCount(GetParam().Serving_),
                               Percentage(GetParam().Floor_)),
            EventCount(GetParam().Permitted_));
}

INSTANTIATE_TEST_SUITE_P(Pools, FloorTest,
                         testing::Values(FloorCase{"Empty", 0, 70, 0},
                                         FloorCase{"One", 1, 70, 0},
                                         FloorCase{"Seven", 7, 70, 2},
                                         FloorCase{"Eight", 8, 75, 2},
                                         FloorCase{"Fifteen", 15, 70, 4},
                                         FloorCase{"WholePool", 15, 100, 0},
                                         FloorCase{"NoFloor", 15, 0, 15}),
                         CaseName());

/// Drives one authority with reports of failures.
class AuthorityTest : public testing::Test {
protected:
  static constexpr std::size_t Size = 10;

  AuthorityTest() { setPool(Size); }

  static InstanceId instance(std::size_t I) {
    return InstanceId("i" + std::to_string(I));
  }

  void setPool(std::size_t Count) {
    ProfileDraft Draft;
    Draft.Name_ = ProfileName("p");
    PoolChanged Pool{{Service_, Profile::create(Draft).takeValue(), {}}, {}};
    for (std::size_t I = 0; I < Count; ++I)
      Pool.Instances_.push_back(
          {instance(I), Service_, {}, {}, SlotCount(4), {}, {}});
    Authority_.handle(Pool, Now_, Effects_);
  }

  void win() {
    Authority_.handle(AuthorityGranted{FenceNumber(1), TimePoint::max()}, Now_,
                      Effects_);
  }

  /// Reports of four gateways every 100 ms; the first Bad instances fail.
  void run(Duration Length, std::size_t Bad) {
    for (TimePoint End = Now_ + Length; Now_ < End;) {
      Now_ += 100ms;
      Authority_.advance(Now_, Effects_);
      for (int G = 0; G < 4; ++G) {
        EvidenceReport Report{MemberId("g" + std::to_string(G)),
                              Service_,
                              ReportNumber(++Reports_),
                              {},
                              {},
                              {}};
        for (std::size_t I = 0; I < Size; ++I)
          Report.Instances_.push_back({instance(I),
                                       EventCount(I < Bad ? 1 : 4),
                                       EventCount(I < Bad ? 3 : 0),
                                       {{LatencyBucket(20), EventCount(4)}}});
        Authority_.handle(Report, Now_, Effects_);
      }
    }
  }

  std::size_t acts(EjectionDecisionKind Kind) const {
    return static_cast<std::size_t>(
        std::count_if(Effects_.begin(), Effects_.end(), [&](const auto &Each) {
          const auto *Act = std::get_if<EjectionDecision>(&Each);
          return Act && Act->Kind_ == Kind;
        }));
  }
  std::size_t answers() const {
    return static_cast<std::size_t>(
        std::count_if(Effects_.begin(), Effects_.end(), [](const auto &Each) {
          return std::holds_alternative<EjectionList>(Each);
        }));
  }
  std::size_t inForce() const { return Authority_.ejectedInForce(Now_).size(); }

  ServiceName Service_{"s"};
  TimePoint Now_{seconds(100)};
  EjectionAuthority Authority_{Service_};
  std::vector<EjectionAuthority::Effect> Effects_;
  std::uint64_t Reports_ = 0;
};

// Guards against a floor that two authorities cross together at a takeover.
TEST_F(AuthorityTest, EjectsNothingBeforeEarlierListsExpired) {
  win();
  run(EjectionTerm - 100ms, 1);
  EXPECT_EQ(inForce(), 0U);
  run(1s, 1);
  EXPECT_EQ(inForce(), 1U);
}

// Guards against an authority that goes on after its lease, told or not told.
TEST_F(AuthorityTest, StopsWithItsLease) {
  for (bool IsTold : {false, true}) {
    Authority_.handle(AuthorityGranted{FenceNumber(IsTold ? 2 : 1), Now_ + 5s},
                      Now_, Effects_);
    run(4s, 1);
    EXPECT_EQ(inForce(), 1U);
    if (IsTold)
      Authority_.handle(AuthorityLost{}, Now_, Effects_);
    else
      Now_ += 1s;
    std::size_t Before = answers();
    run(1s, 1);
    EXPECT_EQ(answers(), Before);
    EXPECT_EQ(inForce(), 0U);
  }
}

// Guards against ejections below the floor when many instances fail at once.
TEST_F(AuthorityTest, KeepsTheFloorAndSaysSo) {
  win();
  run(4s, 4);
  EXPECT_EQ(inForce(), 3U);
  EXPECT_EQ(acts(EjectionDecisionKind::WithheldForFloor), 1U);
  setPool(7);
  EXPECT_EQ(acts(EjectionDecisionKind::ReinstatedForFloor), 1U);
}

// Guards against instances that never come back, and against ejections of the
// same length for an instance that flaps.
TEST_F(AuthorityTest, ReturnsGraduallyAndDoublesWhenFlapping) {
  win();
  run(3s, 1);
  ASSERT_EQ(inForce(), 1U);
  run(10s, 0);
  EXPECT_EQ(acts(EjectionDecisionKind::ReturnStageStarted), 2U);
  EXPECT_EQ(acts(EjectionDecisionKind::Reinstated), 1U);
  EXPECT_EQ(inForce(), 0U);
  run(1s, 1);
  ASSERT_EQ(inForce(), 1U);
  run(9s, 0);
  EXPECT_EQ(acts(EjectionDecisionKind::ReturnStageStarted), 2U)
      << "second ejection is 10 s";
  run(8s, 0);
  EXPECT_EQ(acts(EjectionDecisionKind::Reinstated), 2U);
}

// Guards against an instance that is reinstated while it still fails.
TEST_F(AuthorityTest, EjectsAgainDuringReturn) {
  win();
  run(10s, 1);
  EXPECT_EQ(acts(EjectionDecisionKind::EjectedAgain), 1U);
  EXPECT_EQ(acts(EjectionDecisionKind::Reinstated), 0U);
}

// Guards against blame on instances that one request crashes: it is resent to
// each of them, and each loses the connection four times a round.
TEST_F(AuthorityTest, BlamesTheRequestForItsCrashes) {
  win();
  run(3s, 0);
  Effects_.clear();
  for (int Round = 0; Round < 200; ++Round) {
    EvidenceReport Report{MemberId("g" + std::to_string(Round % 4)),
                          Service_,
                          ReportNumber(++Reports_),
                          {},
                          {},
                          {}};
    Report.Crashes_.push_back({instance(Round % 2), Fingerprint(666)});
    Authority_.handle(Report, Now_, Effects_);
    if (Round % 4 == 3)
      run(100ms, 0);
  }
  const auto &Last = std::get<EjectionList>(Effects_.back());
  EXPECT_EQ(Last.Quarantined_, std::vector{Fingerprint(666)});
  EXPECT_EQ(inForce(), 0U);
}

struct AnswerCase {
  const char *Name_;
  /// Position of the report that the answer names, 0 for none.
  std::uint64_t Report_;
  std::uint64_t Fence_;
  std::uint64_t Revision_;
  Duration At_;
  bool IsApplied_;
};

class ReporterTest : public testing::TestWithParam<AnswerCase> {};

// Guards against lists that outlive what their authority counts on: validity
// starts when the report was sent, and older lists never replace newer ones.
TEST_P(ReporterTest, AppliesOnlyCurrentLists) {
  EvidenceReporterSettings Settings;
  Settings.Self_ = MemberId("g");
  EvidenceReporter Reporter(Settings);
  std::vector<EvidenceReporter::Effect> Effects;
  TimePoint Start{seconds(1)};
  Reporter.handle(AttemptObserved{ServiceName("s"),
                                  InstanceId("i"),
                                  AttemptResult::TimedOut,
                                  {},
                                  1s,
                                  {}},
                  Start, Effects);
  ASSERT_EQ(Effects.size(), 1U) << "a first failure is reported at once";
  Reporter.advance(Start + 500ms, Effects);
  EjectionList Reply{MemberId("g"),
                     ServiceName("s"),
                     ReportNumber(2),
                     FenceNumber(3),
                     EjectionListRevision(5),
                     {InstanceId("i")},
                     {},
                     {}};
  Reporter.handle(EjectionListReceived{Reply}, Start + 510ms, Effects);
  Effects.clear();
  Reply.Number_ = ReportNumber(GetParam().Report_);
  Reply.Fence_ = FenceNumber(GetParam().Fence_);
  Reply.Revision_ = EjectionListRevision(GetParam().Revision_);
  Reporter.handle(EjectionListReceived{Reply}, Start + GetParam().At_, Effects);
  ASSERT_EQ(!Effects.empty(), GetParam().IsApplied_);
  if (!Effects.empty()) {
    EXPECT_EQ(std::get<EjectionListChanged>(Effects[0]).ValidUntil_,
              Start + 500ms + EjectionTimeToLive);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ReporterTest,
    testing::Values(AnswerCase{"NewerRevision", 2, 3, 6, 600ms, true},
                    AnswerCase{"NewAuthority", 2, 4, 1, 600ms, true},
                    AnswerCase{"Repeated", 2, 3, 5, 600ms, false},
                    AnswerCase{"StaleAuthority", 2, 2, 9, 600ms, false},
                    AnswerCase{"ToEarlierReport", 1, 3, 6, 600ms, false},
                    AnswerCase{"OfEarlierRun", 9, 3, 6, 600ms, false},
                    AnswerCase{"TooLate", 2, 3, 6, 2500ms, false}),
    CaseName());

} // namespace
} // namespace jaybridge
