#include <LibCore/Random.h>
#include <LibDetection/SequentialTest.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct RatesCase {
  const char *Name_;
  double FalseAlarm_;
  double Missed_;
};

class SequentialTestRates : public testing::TestWithParam<RatesCase> {};

// Guards against thresholds that do not keep the profile's error rates.
TEST_P(SequentialTestRates, KeepsBothErrorRates) {
  constexpr int Trials = 20'000;
  constexpr OutcomeRates Rates{Probability(0.02), Probability(0.36)};
  Random Numbers{RandomSeed(11)};
  int Wrong[2] = {0, 0};
  for (int Trial = 0; Trial < Trials; ++Trial)
    for (bool IsFaulty : {false, true}) {
      auto Running = SequentialTest::create(ErrorRate(GetParam().FalseAlarm_),
                                            ErrorRate(GetParam().Missed_))
                         .takeValue();
      double BadRate =
          IsFaulty ? Rates.Faulty_.value() : Rates.Healthy_.value();
      while (Running.verdict() == TestVerdict::Undecided) {
        bool IsBad = Numbers.unit() < BadRate;
        Running.add(evidenceOf(Rates, EventCount(!IsBad), EventCount(IsBad)));
      }
      Wrong[IsFaulty] += (Running.verdict() == TestVerdict::Faulty) != IsFaulty;
    }
  EXPECT_LE(Wrong[0], 1.2 * GetParam().FalseAlarm_ * Trials);
  EXPECT_LE(Wrong[1], 1.2 * GetParam().Missed_ * Trials);
}

INSTANTIATE_TEST_SUITE_P(Profiles, SequentialTestRates,
                         testing::Values(RatesCase{"Agency", 1e-2, 1e-2},
                                         RatesCase{"Uneven", 1e-3, 5e-2},
                                         RatesCase{"Greatest", 0.2, 0.2}),
                         CaseName());

class InvalidRates : public testing::TestWithParam<RatesCase> {};

// Guards against tests that never or always decide.
TEST_P(InvalidRates, AreRefused) {
  EXPECT_FALSE(SequentialTest::create(ErrorRate(GetParam().FalseAlarm_),
                                      ErrorRate(GetParam().Missed_)));
}

INSTANTIATE_TEST_SUITE_P(Rates, InvalidRates,
                         testing::Values(RatesCase{"Zero", 0, 0.1},
                                         RatesCase{"Negative", 0.1, -0.1},
                                         RatesCase{"Half", 0.5, 0.1}),
                         CaseName());

} // namespace
} // namespace jaybridge
