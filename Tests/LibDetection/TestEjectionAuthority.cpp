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

class PermittedEjectionsTest : public testing::TestWithParam<FloorCase> {};

// Guards against rounding that permits one ejection too many.
TEST_P(PermittedEjectionsTest, RoundsTheFloorUp) {
  EXPECT_EQ(permittedEjections(EventCount(GetParam().Serving_),
                               Percentage(GetParam().Floor_)),
            EventCount(GetParam().Permitted_));
}

INSTANTIATE_TEST_SUITE_P(Pools, PermittedEjectionsTest,
                         testing::Values(FloorCase{"Empty", 0, 70, 0},
                                         FloorCase{"One", 1, 70, 0},
                                         FloorCase{"Seven", 7, 70, 2},
                                         FloorCase{"Eight", 8, 75, 2},
                                         FloorCase{"Fifteen", 15, 70, 4},
                                         FloorCase{"WholePool", 15, 100, 0},
                                         FloorCase{"NoFloor", 15, 0, 15}),
                         CaseName());

/// Feeds one authority with evidence reports.
class EjectionAuthorityTest : public testing::Test {
protected:
  static constexpr std::size_t InstanceCount = 10;

  EjectionAuthorityTest() { setPool(InstanceCount); }

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

  void grantAuthority() {
    Authority_.handle(AuthorityGranted{FenceNumber(1), TimePoint::max()}, Now_,
                      Effects_);
  }

  /// Sends reports of four gateways every 100 ms; the first FaultyCount
  /// instances fail.
  void run(Duration Length, std::size_t FaultyCount) {
    for (TimePoint End = Now_ + Length; Now_ < End;) {
      Now_ += 100ms;
      Authority_.advance(Now_, Effects_);
      for (int G = 0; G < 4; ++G) {
        EvidenceReport Report{MemberId("g" + std::to_string(G)),
                              Service_,
                              ReportNumber(++ReportCount_),
                              {},
                              {},
                              {}};
        for (std::size_t I = 0; I < InstanceCount; ++I)
          Report.Instances_.push_back({instance(I),
                                       EventCount(I < FaultyCount ? 1 : 4),
                                       EventCount(I < FaultyCount ? 3 : 0),
                                       {{LatencyBucket(20), EventCount(4)}}});
        Authority_.handle(Report, Now_, Effects_);
      }
    }
  }

  std::size_t decisionCount(EjectionDecisionKind Kind) const {
    return static_cast<std::size_t>(std::count_if(
        Effects_.begin(), Effects_.end(), [&](const auto &Emitted) {
          const auto *Decision = std::get_if<EjectionDecision>(&Emitted);
          return Decision && Decision->Kind_ == Kind;
        }));
  }
  std::size_t listCount() const {
    return static_cast<std::size_t>(std::count_if(
        Effects_.begin(), Effects_.end(), [](const auto &Emitted) {
          return std::holds_alternative<EjectionList>(Emitted);
        }));
  }
  std::size_t ejectedCount() const {
    return Authority_.ejectedInForce(Now_).size();
  }

  ServiceName Service_{"s"};
  TimePoint Now_{seconds(100)};
  EjectionAuthority Authority_{Service_};
  std::vector<EjectionAuthority::Effect> Effects_;
  std::uint64_t ReportCount_ = 0;
};

// Guards against two authorities that together eject more instances than the
// floor permits during a takeover.
TEST_F(EjectionAuthorityTest, EjectsNothingBeforeEarlierListsExpired) {
  grantAuthority();
  run(MaxEjectionListLifetime - 100ms, 1);
  EXPECT_EQ(ejectedCount(), 0U);
  run(1s, 1);
  EXPECT_EQ(ejectedCount(), 1U);
}

// Guards against an authority that continues after its lease has expired
// without a notification, or after a notification of the loss.
TEST_F(EjectionAuthorityTest, StopsWhenLeaseEnds) {
  for (bool IsNotified : {false, true}) {
    Authority_.handle(
        AuthorityGranted{FenceNumber(IsNotified ? 2 : 1), Now_ + 5s}, Now_,
        Effects_);
    run(4s, 1);
    EXPECT_EQ(ejectedCount(), 1U);
    if (IsNotified)
      Authority_.handle(AuthorityLost{}, Now_, Effects_);
    else
      Now_ += 1s;
    std::size_t ListsBefore = listCount();
    run(1s, 1);
    EXPECT_EQ(listCount(), ListsBefore);
    EXPECT_EQ(ejectedCount(), 0U);
  }
}

// Guards against ejections beyond the floor when many instances fail at once.
TEST_F(EjectionAuthorityTest, KeepsTheFloorAndRecordsWithheldEjections) {
  grantAuthority();
  run(4s, 4);
  EXPECT_EQ(ejectedCount(), 3U);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::WithheldForFloor), 1U);
  setPool(7);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::ReinstatedForFloor), 1U);
}

// Guards against instances that are never reinstated, and against ejections of
// constant length for an instance that fails repeatedly.
TEST_F(EjectionAuthorityTest, ReturnsGraduallyAndDoublesEjectionTime) {
  grantAuthority();
  run(3s, 1);
  ASSERT_EQ(ejectedCount(), 1U);
  run(10s, 0);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::ReturnStageStarted), 2U);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::Reinstated), 1U);
  EXPECT_EQ(ejectedCount(), 0U);
  run(1s, 1);
  ASSERT_EQ(ejectedCount(), 1U);
  run(9s, 0);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::ReturnStageStarted), 2U)
      << "second ejection is 10 s";
  run(8s, 0);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::Reinstated), 2U);
}

// Guards against the reinstatement of an instance that still fails.
TEST_F(EjectionAuthorityTest, EjectsAgainDuringReturn) {
  grantAuthority();
  run(10s, 1);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::EjectedAgain), 1U);
  EXPECT_EQ(decisionCount(EjectionDecisionKind::Reinstated), 0U);
}

// Guards against ejecting instances because of one request that crashes them.
// The request is sent to each of two instances, and each of them loses the
// connection four times per round.
TEST_F(EjectionAuthorityTest, AttributesCrashesToTheRequest) {
  grantAuthority();
  run(3s, 0);
  Effects_.clear();
  for (int Round = 0; Round < 200; ++Round) {
    EvidenceReport Report{MemberId("g" + std::to_string(Round % 4)),
                          Service_,
                          ReportNumber(++ReportCount_),
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
  EXPECT_EQ(ejectedCount(), 0U);
}

struct ListCase {
  const char *Name_;
  /// Number of the report that the list refers to; 9 was never sent in this
  /// run.
  std::uint64_t Report_;
  std::uint64_t Fence_;
  std::uint64_t Revision_;
  Duration At_;
  bool IsApplied_;
};

class EvidenceReporterTest : public testing::TestWithParam<ListCase> {};

// Guards against lists that stay in use longer than the authority assumes, and
// against older lists that replace newer ones. The validity starts when the
// report was sent.
TEST_P(EvidenceReporterTest, AppliesOnlyCurrentLists) {
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
  EjectionList List{MemberId("g"),
                    ServiceName("s"),
                    ReportNumber(2),
                    FenceNumber(3),
                    EjectionListRevision(5),
                    {InstanceId("i")},
                    {},
                    {}};
  Reporter.handle(EjectionListReceived{List}, Start + 510ms, Effects);
  Effects.clear();
  List.Number_ = ReportNumber(GetParam().Report_);
  List.Fence_ = FenceNumber(GetParam().Fence_);
  List.Revision_ = EjectionListRevision(GetParam().Revision_);
  Reporter.handle(EjectionListReceived{List}, Start + GetParam().At_, Effects);
  ASSERT_EQ(!Effects.empty(), GetParam().IsApplied_);
  if (!Effects.empty()) {
    EXPECT_EQ(std::get<EjectionListChanged>(Effects[0]).ValidUntil_,
              Start + 500ms + EjectionListTimeToLive);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EvidenceReporterTest,
    testing::Values(ListCase{"NewerRevision", 2, 3, 6, 600ms, true},
                    ListCase{"NewAuthority", 2, 4, 1, 600ms, true},
                    ListCase{"Repeated", 2, 3, 5, 600ms, false},
                    ListCase{"StaleAuthority", 2, 2, 9, 600ms, false},
                    ListCase{"ToEarlierReport", 1, 3, 6, 600ms, false},
                    ListCase{"OfEarlierRun", 9, 3, 6, 600ms, false},
                    ListCase{"TooLate", 2, 3, 6, 2500ms, false}),
    CaseName());

} // namespace
} // namespace jaybridge
