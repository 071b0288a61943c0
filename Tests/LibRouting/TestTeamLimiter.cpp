#include <LibRouting/TeamLimiter.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

const TeamName Limited("t");
const RequestId First("1");
const RequestId Second("2");

TeamDirectory directory() {
  TeamDraft Draft;
  Draft.Name_ = Limited;
  Draft.Limit_ = TeamLimit{RequestRate(10), RequestTokens(10)};
  return TeamDirectory::create({Draft}).takeValue();
}

struct AnswerCase {
  const char *Name_;
  /// Tokens that the control member grants; none if it does not answer.
  std::optional<RequestTokens> Granted_;
  /// Time from the request to the answer.
  Duration After_;
  std::size_t SpentCount_;
  std::size_t RefusedCount_;
  std::size_t NotReadyCount_;
};

class TeamLimiterTest : public testing::TestWithParam<AnswerCase> {};

// Guards against a request that runs without a token, is refused although its
// token is on the way, or waits longer than 150 ms.
TEST_P(TeamLimiterTest, DecidesByTheAnswerOfTheMember) {
  TeamLimiter Limiter{RandomSeed(1)};
  Limiter.setTeams(directory());
  const TimePoint Start{1h};
  for (const RequestId &Id : {First, Second})
    ASSERT_TRUE(
        std::holds_alternative<AwaitsToken>(Limiter.admit(Id, Limited, Start)));
  const auto Asked = Limiter.takeRequest(Start);
  ASSERT_TRUE(Asked);
  EXPECT_EQ(Asked->Wishes_.at(0).Wanted_, RequestTokens(2));
  const TimePoint Now = Start + GetParam().After_;
  std::vector<TokenDecided> Decided;
  if (GetParam().Granted_) {
    TokenShare Share{Limited, *GetParam().Granted_, std::nullopt};
    if (Share.Granted_ < RequestTokens(2))
      Share.RetryAfter_ = 300ms;
    Limiter.accept({Asked->Round_, {Share}}, Now, Decided);
  }
  Limiter.advance(Now, Decided);
  std::size_t Spent = 0;
  std::size_t Refused = 0;
  std::size_t NotReady = 0;
  for (const TokenDecided &Each : Decided) {
    Spent += std::holds_alternative<TokenSpent>(Each.Verdict_);
    NotReady += std::holds_alternative<NoTokenAnswer>(Each.Verdict_);
    if (const auto *Reached = std::get_if<LimitReached>(&Each.Verdict_)) {
      ++Refused;
      EXPECT_GE(Reached->RetryAfter_, 300ms);
      EXPECT_LE(Reached->RetryAfter_, 600ms);
    }
  }
  EXPECT_EQ(Spent, GetParam().SpentCount_);
  EXPECT_EQ(Refused, GetParam().RefusedCount_);
  EXPECT_EQ(NotReady, GetParam().NotReadyCount_);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, TeamLimiterTest,
    testing::Values(
        AnswerCase{"All", RequestTokens(2), 5ms, 2, 0, 0},
        AnswerCase{"One", RequestTokens(1), 5ms, 1, 1, 0},
        AnswerCase{"None", RequestTokens(0), 5ms, 0, 2, 0},
        AnswerCase{"Silence", std::nullopt, 150ms, 0, 0, 2},
        AnswerCase{"StillWaiting", std::nullopt, 140ms, 0, 0, 0},
        // A process that was frozen must not spend what it got long ago.
        AnswerCase{"Expired", RequestTokens(2), GatewayTokenLifetime + 1ms, 0,
                   0, 2}),
    CaseName());

// Guards against a lost token when instances refuse a request as not run.
TEST(TeamLimiterTokenTest, ReturnsTheTokenOfARequestThatDidNotRun) {
  TeamLimiter Limiter{RandomSeed(1)};
  Limiter.setTeams(directory());
  const TimePoint Now{1h};
  Limiter.admit(First, Limited, Now);
  std::vector<TokenDecided> Decided;
  Limiter.accept({Limiter.takeRequest(Now)->Round_,
                  {{Limited, RequestTokens(1), std::nullopt}}},
                 Now, Decided);
  Limiter.finish(First, true, Now);
  EXPECT_TRUE(
      std::holds_alternative<TokenSpent>(Limiter.admit(Second, Limited, Now)));
  EXPECT_EQ(Limiter.counts().TokensReturned_, EventCount(1));
}

// Guards against messages of fleets without limited teams.
TEST(TeamLimiterTokenTest, SendsNothingWithoutLimitedTeams) {
  TeamLimiter Limiter{RandomSeed(1)};
  EXPECT_FALSE(Limiter.isLimited(Limited));
  EXPECT_FALSE(Limiter.takeRequest(TimePoint(1h)));
  EXPECT_FALSE(Limiter.nextDeadline());
}

} // namespace
} // namespace jaybridge
