#pragma once

#include <LibCore/Result.h>
#include <LibDetection/DetectionUnits.h>

namespace jaybridge {

/// Expected share of bad outcomes of a healthy and of a faulty instance.
struct OutcomeRates {
  Probability Healthy_;
  Probability Faulty_;
};

/// Log-likelihood ratio of a number of Bernoulli observations.
LogLikelihoodRatio logLikelihoodRatio(const OutcomeRates &Rates,
                                      EventCount Good, EventCount Bad);

enum class TestVerdict { Undecided, Healthy, Faulty };

/// Sequential probability ratio test on Bernoulli observations (A. Wald,
/// Sequential Tests of Statistical Hypotheses, 1945). It reaches one verdict,
/// which stays; the error rates hold for that verdict.
class SequentialTest {
public:
  /// FalseAlarm is the probability that a healthy instance is found faulty,
  /// MissedDetection the probability that a faulty instance is found healthy.
  /// Fails with ErrorCode::Invalid unless both are above 0 and below 0.5.
  static Result<SequentialTest> create(ErrorRate FalseAlarm,
                                       ErrorRate MissedDetection);

  void add(LogLikelihoodRatio Observed);
  TestVerdict verdict() const { return Verdict_; }

private:
  SequentialTest(LogLikelihoodRatio UpperThreshold,
                 LogLikelihoodRatio LowerThreshold)
      : UpperThreshold_(UpperThreshold), LowerThreshold_(LowerThreshold) {}

  LogLikelihoodRatio UpperThreshold_;
  LogLikelihoodRatio LowerThreshold_;
  LogLikelihoodRatio Sum_;
  TestVerdict Verdict_ = TestVerdict::Undecided;
};

/// Threshold for a test that runs continuously: the cumulative sum of E. S.
/// Page (Continuous Inspection Schemes, 1954), which restarts at 0. With the
/// threshold h, the mean number of observations between false alarms is at
/// least e^h (G. Lorden, 1971).
///
/// The argument is the profile's rate of false ejections: their expected number
/// per hour of a healthy instance and per test, for instances with up to 1,000
/// observations per second.
LogLikelihoodRatio alarmThreshold(ErrorRate FalseAlarmsPerInstanceHour);

} // namespace jaybridge
