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
  /// Creation time of the key, in seconds after the start of the replica.
  int CreatedAtSeconds_;
  /// Earlier messages as "KIND GATEWAY SECONDS" triples; the kind is C for
  /// Claim, R for Release or F for Finish.
  const char *EarlierMessages_;
  /// Time of the final claim, in seconds after the start of the replica.
  int ClaimedAtSeconds_;
  /// Expected verdict on the final claim, which gateway "b" makes.
  const char *ExpectedVerdict_;
};

std::string verdictName(const ClaimVerdict &Verdict) {
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

// Guards against accepting a second claim on a key, and against blocking a key
// that no claim holds. Each row is one order of messages, such as a release
// that arrives before its claim.
TEST_P(LedgerReplicaTest, AnswersSecondClaim) {
  auto Replica = LedgerReplica::create({}, Epoch).takeValue();
  IdempotencyKey Key =
      keyCreatedAt(wallTimeAfter(seconds(GetParam().CreatedAtSeconds_)));
  std::istringstream Messages(GetParam().EarlierMessages_);
  char Kind = 0;
  char Gateway = 0;
  int Seconds = 0;
  while (Messages >> Kind >> Gateway >> Seconds) {
    ClaimId Id = claimIdOf(std::string(1, Gateway).c_str(), 1);
    LedgerRequest Request = Claim{Key, Id, Fingerprint(7), seconds(2)};
    if (Kind == 'R')
      Request = Release{Key, Id};
    if (Kind == 'F')
      Request = Finish{Key, Id, Fingerprint(7), answerWith("x")};
    Replica.handle(Request, wallTimeAfter(seconds(Seconds)));
  }
  auto Reply =
      Replica.claim(Claim{Key, claimIdOf("b", 1), Fingerprint(7), seconds(2)},
                    wallTimeAfter(seconds(GetParam().ClaimedAtSeconds_)));
  EXPECT_EQ(verdictName(Reply.Verdict_), GetParam().ExpectedVerdict_);
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
// that accepts a claim although it cannot store it.
TEST(LedgerReplicaLimits, AbstainsAndCountsWhenFull) {
  LedgerLimits Limits;
  Limits.MaxRecordCount_ = EventCount(2);
  auto Replica = LedgerReplica::create(Limits, Epoch).takeValue();
  WallTime Now = wallTimeAfter(minutes(1));
  for (std::uint8_t I = 0; I < 3; ++I)
    Replica.claim(Claim{keyCreatedAt(Now, I), claimIdOf("a", I), Fingerprint(I),
                        seconds(2)},
                  Now);
  EXPECT_EQ(Replica.recordCount(), EventCount(2));
  EXPECT_EQ(Replica.counters().AbstainedAtLimit_, EventCount(1));
  EXPECT_FALSE(Replica.finish(
      Finish{keyCreatedAt(Now, 2), claimIdOf("a", 2), {}, answerWith("x")},
      Now));
  Now = wallTimeAfter(minutes(12));
  Replica.claim(Claim{keyCreatedAt(Now, 9), claimIdOf("a", 9), Fingerprint(9),
                      seconds(2)},
                Now);
  EXPECT_EQ(Replica.recordCount(), EventCount(1));
}

// Guards against large answers that exhaust the memory of the replica. The body
// is not stored, but the key must still be reported as run.
TEST(LedgerReplicaLimits, StoresLargeAnswersAsRan) {
  auto Replica = LedgerReplica::create({}, Epoch).takeValue();
  WallTime Now = wallTimeAfter(minutes(1));
  IdempotencyKey Key = keyCreatedAt(Now);
  Replica.finish(Finish{Key, claimIdOf("a", 1), Fingerprint(7),
                        answerWith(std::string(66'560, 'x'))},
                 Now);
  auto Reply = Replica.claim(
      Claim{Key, claimIdOf("b", 1), Fingerprint(7), seconds(2)}, Now);
  const auto &Finished = std::get<ClaimFinished>(Reply.Verdict_);
  EXPECT_EQ(std::get<Refusal>(Finished.Answer_).Outcome_, Outcome::Ran);
  EXPECT_LT(Replica.bytes(), ByteCount(1024));
}

} // namespace
} // namespace jaybridge
