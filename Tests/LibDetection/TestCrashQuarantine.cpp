#include <LibDetection/CrashQuarantine.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct Seen {
  const char *Instance_;
  std::uint64_t Fingerprint_;
  std::uint64_t Together_;
  /// A request with this fingerprint was answered before.
  bool Survived_ = false;
};

struct QuarantineCase {
  const char *Name_;
  std::vector<Seen> Crashes_;
  bool IsQuarantined_;
  std::size_t Forgiven_;
};

class CrashQuarantineTest : public testing::TestWithParam<QuarantineCase> {};

// Guards against a request that crashes instance after instance, and against
// the quarantine of requests that were only lost beside it.
TEST_P(CrashQuarantineTest, JudgesFingerprintOne) {
  CrashQuarantine Quarantine;
  std::size_t Forgiven = 0;
  for (const Seen &Each : GetParam().Crashes_) {
    if (Each.Survived_)
      Quarantine.clear(Fingerprint(Each.Fingerprint_));
    Forgiven +=
        Quarantine
            .add({InstanceId(Each.Instance_), MemberId("g"),
                  Fingerprint(Each.Fingerprint_), EventCount(Each.Together_)},
                 TimePoint{})
            .size();
  }
  EXPECT_EQ(Quarantine.isQuarantined(Fingerprint(1)),
            GetParam().IsQuarantined_);
  EXPECT_EQ(Forgiven, GetParam().Forgiven_);
  Quarantine.expire(TimePoint{} + CrashQuarantine::QuarantineTime);
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

// Guards against memory that grows with each lost connection.
TEST(CrashQuarantineBounds, EvictsAndCounts) {
  CrashQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 2000; ++I)
    for (const char *Instance : {"a", "b"})
      Quarantine.add(
          {InstanceId(Instance), MemberId("g"), Fingerprint(I), EventCount(1)},
          TimePoint{} + I * 1ms);
  EXPECT_LE(Quarantine.quarantined().size(),
            CrashQuarantine::GreatestQuarantinedCount);
  EXPECT_TRUE(Quarantine.isQuarantined(Fingerprint(1999)));
  EXPECT_GT(Quarantine.evicted(), EventCount(0));
}

} // namespace
} // namespace jaybridge
