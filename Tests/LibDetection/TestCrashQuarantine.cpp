#include <LibDetection/CrashQuarantine.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct CrashStep {
  const char *Instance_;
  std::uint64_t Fingerprint_;
  std::uint64_t ConcurrentLosses_;
  /// A request with this fingerprint is answered before the crash.
  bool WasAnswered_ = false;
};

struct QuarantineCase {
  const char *Name_;
  std::vector<CrashStep> Crashes_;
  bool IsQuarantined_;
  std::size_t AttributedCrashes_;
};

class CrashQuarantineTest : public testing::TestWithParam<QuarantineCase> {};

// Guards against requests that crash one instance after another, and against
// the quarantine of requests that were in flight on a crashing instance without
// causing the crash.
TEST_P(CrashQuarantineTest, QuarantinesOnlyCrashingRequests) {
  CrashQuarantine Quarantine;
  std::size_t AttributedCrashes = 0;
  for (const CrashStep &Step : GetParam().Crashes_) {
    if (Step.WasAnswered_)
      Quarantine.clear(Fingerprint(Step.Fingerprint_));
    AttributedCrashes += Quarantine
                             .add({InstanceId(Step.Instance_), MemberId("g"),
                                   Fingerprint(Step.Fingerprint_),
                                   EventCount(Step.ConcurrentLosses_)},
                                  TimePoint{})
                             .size();
  }
  EXPECT_EQ(Quarantine.isQuarantined(Fingerprint(1)),
            GetParam().IsQuarantined_);
  EXPECT_EQ(AttributedCrashes, GetParam().AttributedCrashes_);
  Quarantine.expire(TimePoint{} + CrashQuarantine::QuarantineDuration);
  EXPECT_FALSE(Quarantine.isQuarantined(Fingerprint(1)));
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, CrashQuarantineTest,
    testing::Values(
        QuarantineCase{"OneCrash", {{"a", 1, 1}}, false, 0},
        QuarantineCase{
            "SameInstanceTwice", {{"a", 1, 1}, {"a", 1, 1}}, false, 0},
        QuarantineCase{"TwoInstances", {{"a", 1, 1}, {"b", 1, 1}}, true, 2},
        QuarantineCase{
            "ThirdCrashToo", {{"a", 1, 1}, {"b", 1, 1}, {"c", 1, 1}}, true, 3},
        QuarantineCase{
            "LostBesideOthers", {{"a", 1, 4}, {"b", 1, 4}}, false, 0},
        QuarantineCase{
            "AnsweredInBetween", {{"a", 1, 1}, {"b", 1, 1, true}}, false, 0},
        QuarantineCase{
            "DifferentRequests", {{"a", 1, 1}, {"b", 2, 1}}, false, 0}),
    CaseName());

// Guards against memory use that grows with each lost connection.
TEST(CrashQuarantineLimits, EvictsAndCountsEvictions) {
  CrashQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 2000; ++I)
    for (const char *Instance : {"a", "b"})
      Quarantine.add(
          {InstanceId(Instance), MemberId("g"), Fingerprint(I), EventCount(1)},
          TimePoint{} + I * 1ms);
  EXPECT_LE(Quarantine.quarantined().size(), CrashQuarantine::MaxQuarantined);
  EXPECT_TRUE(Quarantine.isQuarantined(Fingerprint(1999)));
  EXPECT_GT(Quarantine.evicted(), EventCount(0));
}

} // namespace
} // namespace jaybridge
