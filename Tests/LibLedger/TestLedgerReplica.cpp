#include "LedgerSupport.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <sstream>

namespace jaybridge {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

struct ReplicaCase {
  const char *Name_;
  /// When the key was created, in seconds after the replica's start.
  int CreatedAt_;
  /// Messages before: C(laim), R(elease) or F(inish), gateway, seconds.
  const char *Before_;
  int ClaimedAt_;
  /// Verdict for a claim of gateway "b" that then arrives.
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
  IdempotencyKey Key = keyCreatedAt(wallAt(seconds(GetParam().CreatedAt_)));
  std::istringstream Script(GetParam().Before_);
  char Kind = 0;
  char Gateway = 0;
  int At = 0;
  while (Script >> Kind >> Gateway >> At) {
    ClaimId Id = claimOf(std::string(1, Gateway).c_str(), 1);
    LedgerRequest Sent = Claim{Key, Id, Fingerprint(7), seconds(2)};
    if (Kind == 'R')
      Sent = Release{Key, Id};
    if (Kind == 'F')
      Sent = Finish{Key, Id, Fingerprint(7), answerWith("x")};
    Replica.handle(Sent, wallAt(seconds(At)));
  }
  auto Answered =
      Replica.claim(Claim{Key, claimOf("b", 1), Fingerprint(7), seconds(2)},
                    wallAt(seconds(GetParam().ClaimedAt_)));
  EXPECT_EQ(nameOf(Answered.Verdict_), GetParam().Verdict_);
}

using Row = ReplicaCase;
INSTANTIATE_TEST_SUITE_P(
    Traces, LedgerReplicaTest,
    testing::Values(
        Row{"Fresh", 60, "", 60, "accepted"},
        Row{"CreatedBeforeRestart", 0, "", 31, "restarted"},
        Row{"CreatedWithinTolerance", 30, "", 30, "restarted"},
        Row{"FromFuture", 120, "", 60, "from-future"},
        Row{"Expired", 60, "", 660, "expired"},
        Row{"DuplicateOfOwnClaim", 60, "C b 60", 60, "accepted"},
        Row{"HeldByOther", 60, "C a 60", 60, "held"},
        Row{"HolderSilentPastDeadline", 60, "C a 60", 62, "overdue"},
        Row{"ReleasedByHolder", 60, "C a 60 R a 60", 60, "accepted"},
        Row{"ReleaseOfOtherClaim", 60, "C a 60 R c 60", 60, "held"},
        Row{"ReleaseOvertookClaim", 60, "R b 60", 60, "released"},
        Row{"LateCopyOfReleased", 60, "R a 60 C a 60", 60, "accepted"},
        Row{"Finished", 60, "C a 60 F a 60", 120, "finished"},
        Row{"ReleaseAfterFinish", 60, "C a 60 F a 60 R a 60", 120, "finished"},
        Row{"FinishOvertookClaim", 60, "F a 60", 120, "finished"},
        Row{"FinishOverLosingClaim", 60, "C c 60 F a 60", 120, "finished"},
        Row{"FinishTaughtRestarted", -5, "F a 1", 2, "finished"},
        Row{"ReleaseDoesNotLiftRestart", -5, "R a 1", 2, "restarted"},
        Row{"ClockWentBack", 60, "C a 60 C c 1800", 60, "expired"}),
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
