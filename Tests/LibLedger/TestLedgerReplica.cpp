#include "LedgerSupport.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

enum class Step { Claim, Release, Finish };

struct Action {
  Step Step_;
  const char *Gateway_;
  Duration At_;
};

struct ReplicaCase {
  const char *Name_;
  /// When the key was created, relative to the replica's start.
  Duration CreatedAt_;
  std::vector<Action> Before_;
  Duration ClaimedAt_;
  /// Verdict for gateway "b": accepted, held, overdue, finished or the reason
  /// for abstaining.
  const char *Verdict_;
};

std::string nameOf(const ClaimVerdict &Verdict) {
  return std::visit(
      Overloaded{
          [](const ClaimAccepted &) -> std::string { return "accepted"; },
          [](const ClaimHeld &Held) -> std::string {
            return Held.IsOverdue_ ? "overdue" : "held";
          },
          [](const ClaimFinished &) -> std::string { return "finished"; },
          [](const ClaimAbstained &Abstained) -> std::string {
            const char *Names[] = {"expired", "from-future", "restarted",
                                   "full", "released"};
            return Names[static_cast<int>(Abstained.Reason_)];
          }},
      Verdict);
}

class LedgerReplicaTest : public testing::TestWithParam<ReplicaCase> {};

// Each row names the failure in which a second claim could be accepted, or a
// key be blocked for nobody.
TEST_P(LedgerReplicaTest, AnswersSecondClaim) {
  auto Replica = LedgerReplica::create({}, Epoch).takeValue();
  IdempotencyKey Key = keyCreatedAt(wallAt(GetParam().CreatedAt_));
  for (const Action &Each : GetParam().Before_) {
    ClaimId Id = claimOf(Each.Gateway_, 1);
    WallTime At = wallAt(Each.At_);
    if (Each.Step_ == Step::Claim)
      Replica.claim(Claim{Key, Id, Fingerprint(7), seconds(2)}, At);
    if (Each.Step_ == Step::Release)
      Replica.release(Release{Key, Id}, At);
    if (Each.Step_ == Step::Finish)
      Replica.finish(Finish{Key, Id, Fingerprint(7), answerWith("x")}, At);
  }
  auto Answered =
      Replica.claim(Claim{Key, claimOf("b", 1), Fingerprint(7), seconds(2)},
                    wallAt(GetParam().ClaimedAt_));
  EXPECT_EQ(nameOf(Answered.Verdict_), GetParam().Verdict_);
}

INSTANTIATE_TEST_SUITE_P(
    Traces, LedgerReplicaTest,
    testing::Values(
        ReplicaCase{"Fresh", minutes(1), {}, minutes(1), "accepted"},
        ReplicaCase{
            "CreatedBeforeRestart", seconds(0), {}, seconds(31), "restarted"},
        ReplicaCase{"CreatedWithinToleranceOfRestart",
                    seconds(30),
                    {},
                    seconds(30),
                    "restarted"},
        ReplicaCase{"FromFuture", minutes(2), {}, minutes(1), "from-future"},
        ReplicaCase{"Expired", minutes(1), {}, minutes(11), "expired"},
        ReplicaCase{"DuplicateOfOwnClaim",
                    minutes(1),
                    {{Step::Claim, "b", minutes(1)}},
                    minutes(1),
                    "accepted"},
        ReplicaCase{"HeldByOther",
                    minutes(1),
                    {{Step::Claim, "a", minutes(1)}},
                    minutes(1),
                    "held"},
        ReplicaCase{"HolderSilentPastDeadline",
                    minutes(1),
                    {{Step::Claim, "a", minutes(1)}},
                    minutes(1) + seconds(2),
                    "overdue"},
        ReplicaCase{
            "ReleasedByHolder",
            minutes(1),
            {{Step::Claim, "a", minutes(1)}, {Step::Release, "a", minutes(1)}},
            minutes(1),
            "accepted"},
        ReplicaCase{
            "ReleaseOfOtherClaim",
            minutes(1),
            {{Step::Claim, "a", minutes(1)}, {Step::Release, "c", minutes(1)}},
            minutes(1),
            "held"},
        ReplicaCase{"ReleaseOvertookOwnClaim",
                    minutes(1),
                    {{Step::Release, "b", minutes(1)}},
                    minutes(1),
                    "released"},
        ReplicaCase{
            "LateCopyOfReleasedClaim",
            minutes(1),
            {{Step::Release, "a", minutes(1)}, {Step::Claim, "a", minutes(1)}},
            minutes(1),
            "accepted"},
        ReplicaCase{
            "Finished",
            minutes(1),
            {{Step::Claim, "a", minutes(1)}, {Step::Finish, "a", minutes(1)}},
            minutes(2),
            "finished"},
        ReplicaCase{"ReleaseAfterFinish",
                    minutes(1),
                    {{Step::Claim, "a", minutes(1)},
                     {Step::Finish, "a", minutes(1)},
                     {Step::Release, "a", minutes(1)}},
                    minutes(2),
                    "finished"},
        ReplicaCase{"FinishOvertookClaim",
                    minutes(1),
                    {{Step::Finish, "a", minutes(1)}},
                    minutes(2),
                    "finished"},
        ReplicaCase{
            "FinishOfMajorityOverLosingClaim",
            minutes(1),
            {{Step::Claim, "c", minutes(1)}, {Step::Finish, "a", minutes(1)}},
            minutes(2),
            "finished"},
        ReplicaCase{"FinishTaughtRestartedReplica",
                    seconds(-5),
                    {{Step::Finish, "a", seconds(1)}},
                    seconds(2),
                    "finished"},
        ReplicaCase{"ReleaseDoesNotLiftRestart",
                    seconds(-5),
                    {{Step::Release, "a", seconds(1)}},
                    seconds(2),
                    "restarted"},
        ReplicaCase{
            "ClockWentBackAfterDiscard",
            minutes(1),
            {{Step::Claim, "a", minutes(1)}, {Step::Claim, "c", minutes(30)}},
            minutes(1),
            "expired"}),
    CaseName());

// Guards against records that grow without limit, and against a full replica
// that votes although it cannot remember its vote.
TEST(LedgerReplicaLimits, AbstainsAndCountsWhenFull) {
  LedgerLimits Limits;
  Limits.GreatestRecordCount_ = EventCount(2);
  auto Replica = LedgerReplica::create(Limits, Epoch).takeValue();
  WallTime Now = wallAt(minutes(1));
  for (std::uint8_t I = 0; I < 3; ++I)
    Replica.claim(Claim{keyCreatedAt(Now, I), claimOf("a", I), Fingerprint(I),
                        seconds(2)},
                  Now);
  EXPECT_EQ(Replica.recordCount(), EventCount(2));
  EXPECT_EQ(Replica.counters().AbstainedFull_, EventCount(1));
  EXPECT_FALSE(Replica.finish(
      Finish{keyCreatedAt(Now, 2), claimOf("a", 2), {}, answerWith("x")}, Now));
  Now = wallAt(minutes(12));
  Replica.claim(
      Claim{keyCreatedAt(Now, 9), claimOf("a", 9), Fingerprint(9), seconds(2)},
      Now);
  EXPECT_EQ(Replica.recordCount(), EventCount(1));
}

// Guards against answers that fill the memory: the key still counts as run.
TEST(LedgerReplicaLimits, StoresGreatAnswersAsRan) {
  auto Replica = LedgerReplica::create({}, Epoch).takeValue();
  WallTime Now = wallAt(minutes(1));
  IdempotencyKey Key = keyCreatedAt(Now);
  Replica.finish(Finish{Key, claimOf("a", 1), Fingerprint(7),
                        answerWith(std::string(66'560, 'x'))},
                 Now);
  auto Answered = Replica.claim(
      Claim{Key, claimOf("b", 1), Fingerprint(7), seconds(2)}, Now);
  const auto &Finished = std::get<ClaimFinished>(Answered.Verdict_);
  EXPECT_EQ(std::get<Refusal>(Finished.Answer_).Outcome_, Outcome::Ran);
  EXPECT_LT(Replica.bytes(), ByteCount(1024));
}

} // namespace
} // namespace jaybridge
