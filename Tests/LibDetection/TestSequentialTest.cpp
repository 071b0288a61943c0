#include <LibCore/Random.h>
#include <LibDetection/SequentialTest.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct RatesCase {
  const char *Name_;
  double FalseAlarmRate_;
  double MissedDetectionRate_;
};

class SequentialTestRatesTest : public testing::TestWithParam<RatesCase> {};

// Guards against thresholds that exceed the error rates of the profile.
TEST_P(SequentialTestRatesTest, KeepsBothErrorRates) {
  constexpr int Trials = 20'000;
  constexpr OutcomeRates Rates{Probability(0.02), Probability(0.36)};
  Random Numbers{RandomSeed(11)};
  int WrongVerdicts[2] = {0, 0};
  for (int Trial = 0; Trial < Trials; ++Trial)
    for (bool IsFaulty : {false, true}) {
      auto Test =
          SequentialTest::create(ErrorRate(GetParam().FalseAlarmRate_),
                                 ErrorRate(GetParam().MissedDetectionRate_))
              .takeValue();
      double BadRate =
          IsFaulty ? Rates.Faulty_.value() : Rates.Healthy_.value();
      while (Test.verdict() == TestVerdict::Undecided) {
        bool IsBad = Numbers.unit() < BadRate;
        Test.add(
            logLikelihoodRatio(Rates, EventCount(!IsBad), EventCount(IsBad)));
      }
      WrongVerdicts[IsFaulty] +=
          (Test.verdict() == TestVerdict::Faulty) != IsFaulty;
    }
  EXPECT_LE(WrongVerdicts[0], 1.2 * GetParam().FalseAlarmRate_ * Trials);
  EXPECT_LE(WrongVerdicts[1], 1.2 * GetParam().MissedDetectionRate_ * Trials);
}

INSTANTIATE_TEST_SUITE_P(Profiles, SequentialTestRatesTest,
                         testing::Values(RatesCase{"Agency", 1e-2, 1e-2},
                                         RatesCase{"Uneven", 1e-3, 5e-2},
                                         RatesCase{"Greatest", 0.2, 0.2}),
                         CaseName());

class InvalidRatesTest : public testing::TestWithParam<RatesCase> {};

// Guards against error rates for which a test never decides, or always decides
// the same way.
TEST_P(InvalidRatesTest, AreRejected) {
  EXPECT_FALSE(
      SequentialTest::create(ErrorRate(GetParam().FalseAlarmRate_),
                             ErrorRate(GetParam().MissedDetectionRate_)));
}

INSTANTIATE_TEST_SUITE_P(Rates, InvalidRatesTest,
                         testing::Values(RatesCase{"Zero", 0, 0.1},
                                         RatesCase{"Negative", 0.1, -0.1},
                                         RatesCase{"Half", 0.5, 0.1}),
                         CaseName());

} // namespace
} // namespace jaybridge
