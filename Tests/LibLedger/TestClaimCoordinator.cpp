#include "LedgerSupport.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint Start{minutes(1)};
const ClaimId Rival = claimOf("other", 5);
const ClaimId SecondRival = claimOf("z", 6);

ClaimVerdict accepted() { return ClaimAccepted{}; }
ClaimVerdict held(ClaimId By, std::uint64_t Print = 7, bool IsOverdue = false) {
  return ClaimHeld{std::move(By), Fingerprint(Print), IsOverdue};
}
ClaimVerdict finished(std::uint64_t Print) {
  return ClaimFinished{Fingerprint(Print), answerWith("stored")};
}
ClaimVerdict abstained(AbstainReason Reason) { return ClaimAbstained{Reason}; }

struct ClaimsCase {
  const char *Name_;
  /// Verdicts of the replicas r1, r2, r3 in order; none for a silent one.
  std::vector<std::optional<ClaimVerdict>> Verdicts_;
  /// When the verdicts are read, after the claim.
  Duration ReadAt_;
  /// "granted", "stored", "waits" or the reason of the refusal.
  const char *Decision_;
  /// The same after the claim's timeout, when it differs.
  const char *AtTimeout_ = nullptr;
};

ClaimCoordinator makeClaims() {
  ClaimCoordinatorSettings Settings;
  Settings.Self_ = MemberId("self");
  Settings.Incarnation_ = Incarnation(1);
  Settings.Replicas_ = {MemberId("r1"), MemberId("r2"), MemberId("r3")};
  return ClaimCoordinator::create(Settings).takeValue();
}

ClaimRequested request(const char *Id) {
  return ClaimRequested{RequestId(Id),
                        IdempotencyKeyText(keyCreatedAt(Epoch).text()),
                        Fingerprint(7), Start + seconds(2)};
}

std::string decisionIn(const std::vector<ClaimCoordinator::Effect> &Effects) {
  std::string Name = "waits";
  for (const auto &Each : Effects) {
    const auto *Settled = std::get_if<ClaimSettled>(&Each);
    if (!Settled)
      continue;
    EXPECT_EQ(Name, "waits") << "two decisions";
    Name = "granted";
    if (Settled->Answer_) {
      const auto *Refused = std::get_if<Refusal>(&*Settled->Answer_);
      Name = Refused ? refusalReasonName(Refused->Reason_) : "stored";
      if (Refused) {
        EXPECT_NE(Refused->Outcome_, Outcome::NotRun);
      }
    }
  }
  return Name;
}

class ClaimCoordinatorTest : public testing::TestWithParam<ClaimsCase> {
protected:
  void deliver(TimePoint Now) {
    std::size_t Index = 0;
    for (const auto &Verdict : GetParam().Verdicts_) {
      ++Index;
      if (!Verdict)
        continue;
      MemberId Replica("r" + std::to_string(Index));
      ClaimId Own{MemberId("self"), Incarnation(1), ClaimNumber(1)};
      Claims_.handle(LedgerReplyReceived{Replica, ClaimReply{Own, *Verdict}},
                     Now, Effects_);
    }
  }

  ClaimCoordinator Claims_ = makeClaims();
  std::vector<ClaimCoordinator::Effect> Effects_;
};

// Each row names a situation in which a wrong decision would run a request
// twice, or tell its caller something false.
TEST_P(ClaimCoordinatorTest, DecidesOnce) {
  Claims_.handle(request("a"), Start, Effects_);
  deliver(Start + GetParam().ReadAt_);
  EXPECT_EQ(decisionIn(Effects_), GetParam().Decision_);
  Claims_.advance(Start + seconds(1), Effects_);
  EXPECT_EQ(decisionIn(Effects_), GetParam().AtTimeout_ ? GetParam().AtTimeout_
                                                        : GetParam().Decision_);
  // A repeated acceptance after the decision changes nothing.
  std::string Decided = decisionIn(Effects_);
  for (const char *Replica : {"r1", "r2", "r3"})
    Claims_.handle(
        LedgerReplyReceived{
            MemberId(Replica),
            ClaimReply{{MemberId("self"), Incarnation(1), ClaimNumber(1)},
                       accepted()}},
        Start + seconds(1), Effects_);
  EXPECT_EQ(decisionIn(Effects_), Decided);
}

INSTANTIATE_TEST_SUITE_P(
    Verdicts, ClaimCoordinatorTest,
    testing::Values(
        ClaimsCase{"Majority", {accepted(), accepted()}, 1ms, "granted"},
        ClaimsCase{"OneIsNoMajority",
                   {accepted()},
                   1ms,
                   "waits",
                   "ledger-unavailable"},
        ClaimsCase{"FrozenUntilTimeout",
                   {accepted(), accepted(), accepted()},
                   3s,
                   "ledger-unavailable"},
        ClaimsCase{
            "LostToRival", {held(Rival), held(Rival)}, 1ms, "in-progress"},
        ClaimsCase{"LostWithOneVote",
                   {accepted(), held(Rival), held(Rival)},
                   1ms,
                   "in-progress"},
        ClaimsCase{"OneRivalMayLose",
                   {held(Rival), accepted(), accepted()},
                   1ms,
                   "granted"},
        ClaimsCase{"RivalSilent",
                   {held(Rival, 7, true), held(Rival, 7, true)},
                   1ms,
                   "home-lost"},
        ClaimsCase{"StoredAnswer", {finished(7)}, 1ms, "stored"},
        ClaimsCase{"KeyReusedAfterFinish", {finished(8)}, 1ms, "key-reused"},
        ClaimsCase{"KeyReusedWhileHeld",
                   {held(Rival, 8), held(Rival, 8)},
                   1ms,
                   "key-reused"},
        ClaimsCase{"Expired",
                   {abstained(AbstainReason::Expired),
                    abstained(AbstainReason::Expired)},
                   1ms,
                   "key-expired"},
        ClaimsCase{"TwoReplicasRestarted",
                   {abstained(AbstainReason::Restarted),
                    abstained(AbstainReason::Restarted), accepted()},
                   1ms,
                   "ledger-unavailable"},
        ClaimsCase{
            "OneReplicaRestarted",
            {abstained(AbstainReason::Restarted), accepted(), accepted()},
            1ms,
            "granted"},
        ClaimsCase{
            "RestartedAndHeld",
            {abstained(AbstainReason::Restarted), accepted(), held(Rival)},
            1ms,
            "in-progress"},
        ClaimsCase{"SplitVoteNotFirst",
                   {held(Rival), accepted(), held(SecondRival)},
                   1ms,
                   "in-progress"},
        ClaimsCase{"SplitVoteFirst",
                   {held(claimOf("y", 1)), accepted(), held(SecondRival)},
                   1ms,
                   "waits",
                   "in-progress"}),
    CaseName());

// Guards against claims that stay open after loss: a Release is repeated until
// a majority confirmed it, and then forgotten.
TEST(ClaimCoordinatorClosing, RepeatsUntilMajorityConfirms) {
  ClaimCoordinator Claims = makeClaims();
  std::vector<ClaimCoordinator::Effect> Effects;
  Claims.handle(request("a"), Start, Effects);
  Claims.handle(ReleaseRequested{RequestId("a")}, Start, Effects);
  Effects.clear();
  Claims.advance(Start + 50ms, Effects);
  EXPECT_EQ(Effects.size(), 3U);
  ClaimId Own{MemberId("self"), Incarnation(1), ClaimNumber(1)};
  for (const char *Replica : {"r1", "r1", "stranger"})
    Claims.handle(LedgerReplyReceived{MemberId(Replica), CloseReply{Own}},
                  Start, Effects);
  EXPECT_EQ(Claims.claimCount(), EventCount(1));
  Claims.handle(LedgerReplyReceived{MemberId("r3"), CloseReply{Own}}, Start,
                Effects);
  EXPECT_EQ(Claims.claimCount(), EventCount(0));
  EXPECT_EQ(Claims.nextDeadline(), std::nullopt);
}

// Guards against replies to the claims of an earlier run of the same gateway.
TEST(ClaimCoordinatorClosing, IgnoresRepliesToEarlierRun) {
  ClaimCoordinator Claims = makeClaims();
  std::vector<ClaimCoordinator::Effect> Effects;
  Claims.handle(request("a"), Start, Effects);
  ClaimId Earlier{MemberId("self"), Incarnation(0), ClaimNumber(1)};
  for (const char *Replica : {"r1", "r2"})
    Claims.handle(LedgerReplyReceived{MemberId(Replica),
                                      ClaimReply{Earlier, ClaimAccepted{}}},
                  Start, Effects);
  EXPECT_EQ(decisionIn(Effects), "waits");
}

} // namespace
} // namespace jaybridge
