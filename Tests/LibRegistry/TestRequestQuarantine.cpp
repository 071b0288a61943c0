#include <LibRegistry/RecentAnswers.h>
#include <LibRegistry/RequestQuarantine.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

const ServiceName Service("s");
constexpr Fingerprint Crashing(1);
constexpr Fingerprint Proper(2);

InstanceStart startOf(std::size_t Instance, std::uint64_t Version = 1) {
  return {InstanceId("i" + std::to_string(Instance)), Incarnation(Version)};
}

bool contains(const std::vector<Fingerprint> &List, Fingerprint Request) {
  return std::find(List.begin(), List.end(), Request) != List.end();
}

/// Runs past the time in which gateways may object.
bool isQuarantined(RequestQuarantine &Quarantine, Fingerprint Request,
                   TimePoint Now) {
  Quarantine.decide(Now);
  return contains(Quarantine.decide(Now + RequestQuarantine::ConfirmationDelay)
                      .Quarantined_,
                  Request);
}

struct LossCase {
  const char *Name_;
  /// Instance starts lost under the request, as (instance, version).
  std::vector<std::pair<std::size_t, std::uint64_t>> Losses_;
  std::size_t OtherAttempts_;
  /// Other requests that were lost at the same time, each once.
  std::size_t OtherLostRequests_;
  bool IsQuarantined_;
};

class LossTest : public testing::TestWithParam<LossCase> {};

// Guards against a request that ends one instance after the other, and against
// the quarantine of a proper request that was lost while instances failed for
// another reason.
TEST_P(LossTest, QuarantinesWhatIsHardlyLostByChance) {
  RequestQuarantine Quarantine;
  const TimePoint Now{1h};
  Quarantine.recordAttempts(Service, EventCount(GetParam().OtherAttempts_),
                            Now);
  for (std::size_t Index = 0; Index < GetParam().OtherLostRequests_; ++Index)
    Quarantine.recordLoss(Service, startOf(100 + Index),
                          Fingerprint(1000 + Index), Now);
  for (auto [Instance, Version] : GetParam().Losses_)
    Quarantine.recordLoss(Service, startOf(Instance, Version), Crashing, Now);
  EXPECT_EQ(isQuarantined(Quarantine, Crashing, Now),
            GetParam().IsQuarantined_);
}

INSTANTIATE_TEST_SUITE_P(
    Losses, LossTest,
    testing::Values(
        LossCase{"Two", {{0, 1}, {1, 1}}, 1000, 0, false},
        LossCase{"Three", {{0, 1}, {1, 1}, {2, 1}}, 1000, 0, true},
        LossCase{
            "ThreeWithoutOtherRequests", {{0, 1}, {1, 1}, {2, 1}}, 0, 0, true},
        LossCase{"ThreeStartsOfOneInstance",
                 {{0, 1}, {0, 2}, {0, 3}},
                 1000,
                 0,
                 true},
        LossCase{
            "OneStartThreeTimes", {{0, 1}, {0, 1}, {0, 1}}, 1000, 0, false},
        LossCase{"ThreeWhileManyInstancesFail",
                 {{0, 1}, {1, 1}, {2, 1}},
                 100,
                 40,
                 false},
        LossCase{"ManyWhileManyInstancesFail",
                 {{0, 1},
                  {1, 1},
                  {2, 1},
                  {3, 1},
                  {4, 1},
                  {5, 1},
                  {6, 1},
                  {7, 1},
                  {8, 1}},
                 100,
                 40,
                 true}),
    CaseName());

// Guards against refusing a request that many callers send and that is in
// flight at each of many instances that end at the same time.
TEST(RequestQuarantineTest, AcquitsARequestThatIsAnswered) {
  RequestQuarantine Quarantine;
  const TimePoint Now{1h};
  for (std::size_t Instance = 0; Instance < 12; ++Instance)
    Quarantine.recordLoss(Service, startOf(Instance), Proper, Now);
  EXPECT_TRUE(contains(Quarantine.decide(Now).Suspected_, Proper));
  Quarantine.recordAnswered(Proper);
  EXPECT_FALSE(isQuarantined(Quarantine, Proper, Now));
}

// Guards against the quarantine of requests that are lost because another one
// ends the instances that they share.
TEST(RequestQuarantineTest, BlamesTheRequestThatExplainsTheLosses) {
  RequestQuarantine Quarantine;
  const TimePoint Now{1h};
  Quarantine.recordAttempts(Service, EventCount(1000), Now);
  for (std::size_t Instance = 0; Instance < 4; ++Instance) {
    Quarantine.recordLoss(Service, startOf(Instance), Crashing, Now);
    if (Instance > 0)
      Quarantine.recordLoss(Service, startOf(Instance), Proper, Now);
  }
  EXPECT_TRUE(isQuarantined(Quarantine, Crashing, Now));
  EXPECT_FALSE(isQuarantined(Quarantine, Proper, Now + 1s));
}

// Guards against a crashing request that ends several instances again after
// each quarantine, and against one that is refused forever.
TEST(RequestQuarantineTest, QuarantinesAgainAfterASingleLoss) {
  RequestQuarantine Quarantine;
  TimePoint Now{1h};
  for (std::size_t Instance = 0; Instance < 3; ++Instance)
    Quarantine.recordLoss(Service, startOf(Instance), Crashing, Now);
  ASSERT_TRUE(isQuarantined(Quarantine, Crashing, Now));
  Now += RequestQuarantine::ConfirmationDelay +
         RequestQuarantine::QuarantineDuration;
  EXPECT_FALSE(contains(Quarantine.decide(Now).Quarantined_, Crashing));
  Quarantine.recordLoss(Service, startOf(3), Crashing, Now);
  EXPECT_TRUE(contains(Quarantine.decide(Now).Quarantined_, Crashing));
}

// Guards against a change of the leader that lets a crashing request through.
TEST(RequestQuarantineTest, AdoptsTheListOfTheLeader) {
  RequestQuarantine Follower;
  const TimePoint Now{1h};
  Follower.adopt({Crashing, Proper}, Now);
  EXPECT_TRUE(contains(Follower.decide(Now).Quarantined_, Crashing));
  Follower.adopt({Crashing}, Now);
  EXPECT_EQ(Follower.decide(Now).Quarantined_,
            std::vector<Fingerprint>{Crashing});
}

// Guards against memory that grows with each lost request.
TEST(RequestQuarantineTest, EvictsTheOldestLosses) {
  RequestQuarantine Quarantine;
  TimePoint Now{1h};
  for (std::uint64_t Index = 0; Index < 2 * RequestQuarantine::MaxObserved;
       ++Index)
    Quarantine.recordLoss(Service, startOf(0), Fingerprint(Index), Now += 1ms);
  EXPECT_EQ(Quarantine.evicted(), EventCount(RequestQuarantine::MaxObserved));
}

// Guards against objections for requests that were answered long ago, and
// against memory that grows with each answer.
TEST(RecentAnswersTest, KeepsTheLatestAnswers) {
  RecentAnswers Answers;
  TimePoint Now{1h};
  Answers.add(Proper, Now);
  EXPECT_TRUE(Answers.contains(Proper, Now + RecentAnswers::Retention));
  EXPECT_FALSE(Answers.contains(Proper, Now + RecentAnswers::Retention + 1ms));
  EXPECT_FALSE(Answers.contains(Crashing, Now));
  for (std::uint64_t Index = 0; Index < 2 * RecentAnswers::MaxRequests; ++Index)
    Answers.add(Fingerprint(100 + Index), Now += 1ms);
  EXPECT_FALSE(Answers.contains(Proper, Now));
  EXPECT_TRUE(Answers.contains(
      Fingerprint(100 + 2 * RecentAnswers::MaxRequests - 1), Now));
}

} // namespace
} // namespace jaybridge
