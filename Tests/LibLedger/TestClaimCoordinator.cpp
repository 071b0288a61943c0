#include "LedgerSupport.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint Start{minutes(1)};
const ClaimId CompetingClaim = claimIdOf("other", 5);
const ClaimId SecondCompetingClaim = claimIdOf("z", 6);

ClaimVerdict accepted() { return ClaimAccepted{}; }
ClaimVerdict held(ClaimId Holder, std::uint64_t Hash = 7,
                  bool IsOverdue = false) {
  return ClaimHeld{std::move(Holder), Fingerprint(Hash), IsOverdue};
}
ClaimVerdict finished(std::uint64_t Hash) {
  return ClaimFinished{Fingerprint(Hash), answerWith("stored")};
}
ClaimVerdict abstained(AbstainReason Reason) { return ClaimAbstained{Reason}; }

struct ClaimsCase {
  const char *Name_;
  /// Verdicts of the replicas r1, r2 and r3 in order; none for a replica that
  /// does not reply.
  std::vector<std::optional<ClaimVerdict>> Verdicts_;
  /// Time from the claim until the gateway reads the verdicts.
  Duration ReadAfter_;
  /// Expected decision: "granted", "stored", "waits" or the reason of the
  /// refusal.
  const char *ExpectedDecision_;
  /// Expected decision after the claim timeout, if different.
  const char *ExpectedAtTimeout_ = nullptr;
};

ClaimCoordinator makeCoordinator() {
  ClaimCoordinatorSettings Settings;
  Settings.Self_ = MemberId("self");
  Settings.Incarnation_ = Incarnation(1);
  Settings.Replicas_ = {MemberId("r1"), MemberId("r2"), MemberId("r3")};
  return ClaimCoordinator::create(Settings).takeValue();
}

ClaimRequested makeRequest(const char *Id) {
  return ClaimRequested{RequestId(Id),
                        IdempotencyKeyText(keyCreatedAt(Epoch).text()),
                        Fingerprint(7), Start + seconds(2)};
}

std::string decisionIn(const std::vector<ClaimCoordinator::Effect> &Effects) {
  std::string Name = "waits";
  for (const auto &Emitted : Effects) {
    const auto *Settled = std::get_if<ClaimSettled>(&Emitted);
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
  void deliverVerdicts(TimePoint Now) {
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

  ClaimCoordinator Claims_ = makeCoordinator();
  std::vector<ClaimCoordinator::Effect> Effects_;
};

// Guards against wrong decisions from the replicas' verdicts, which would run a
// request twice or report a false outcome to its caller. Each row is one
// combination of verdicts.
TEST_P(ClaimCoordinatorTest, DecidesOnce) {
  Claims_.handle(makeRequest("a"), Start, Effects_);
  deliverVerdicts(Start + GetParam().ReadAfter_);
  EXPECT_EQ(decisionIn(Effects_), GetParam().ExpectedDecision_);
  Claims_.advance(Start + seconds(1), Effects_);
  EXPECT_EQ(decisionIn(Effects_), GetParam().ExpectedAtTimeout_
                                      ? GetParam().ExpectedAtTimeout_
                                      : GetParam().ExpectedDecision_);
  // Duplicate acceptances after the decision must not change it.
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
        ClaimsCase{"LostToRival",
                   {held(CompetingClaim), held(CompetingClaim)},
                   1ms,
                   "in-progress"},
        ClaimsCase{"LostWithOneVote",
                   {accepted(), held(CompetingClaim), held(CompetingClaim)},
                   1ms,
                   "in-progress"},
        ClaimsCase{"OneRivalMayLose",
                   {held(CompetingClaim), accepted(), accepted()},
                   1ms,
                   "granted"},
        ClaimsCase{
            "RivalSilent",
            {held(CompetingClaim, 7, true), held(CompetingClaim, 7, true)},
            1ms,
            "home-lost"},
        ClaimsCase{"StoredAnswer", {finished(7)}, 1ms, "stored"},
        ClaimsCase{"KeyReusedAfterFinish", {finished(8)}, 1ms, "key-reused"},
        ClaimsCase{"KeyReusedWhileHeld",
                   {held(CompetingClaim, 8), held(CompetingClaim, 8)},
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
        ClaimsCase{"RestartedAndHeld",
                   {abstained(AbstainReason::Restarted), accepted(),
                    held(CompetingClaim)},
                   1ms,
                   "in-progress"},
        ClaimsCase{
            "SplitVoteNotFirst",
            {held(CompetingClaim), accepted(), held(SecondCompetingClaim)},
            1ms,
            "in-progress"},
        ClaimsCase{
            "SplitVoteFirst",
            {held(claimIdOf("y", 1)), accepted(), held(SecondCompetingClaim)},
            1ms,
            "waits",
            "in-progress"}),
    CaseName());

// Guards against claims that stay open when messages are lost. A Release must
// be retransmitted until a majority of replicas has confirmed it; duplicate
// replies and replies of other members must not count towards it.
TEST(ClaimCoordinatorClosing, RetransmitsUntilMajorityConfirms) {
  ClaimCoordinator Claims = makeCoordinator();
  std::vector<ClaimCoordinator::Effect> Effects;
  Claims.handle(makeRequest("a"), Start, Effects);
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

// Guards against counting delayed replies to a claim that the same gateway made
// under the same number before a restart.
TEST(ClaimCoordinatorClosing, IgnoresRepliesToEarlierIncarnation) {
  ClaimCoordinator Claims = makeCoordinator();
  std::vector<ClaimCoordinator::Effect> Effects;
  Claims.handle(makeRequest("a"), Start, Effects);
  ClaimId Earlier{MemberId("self"), Incarnation(0), ClaimNumber(1)};
  for (const char *Replica : {"r1", "r2"})
    Claims.handle(LedgerReplyReceived{MemberId(Replica),
                                      ClaimReply{Earlier, ClaimAccepted{}}},
                  Start, Effects);
  EXPECT_EQ(decisionIn(Effects), "waits");
}

} // namespace
} // namespace jaybridge
