#pragma once

#include <LibCore/Result.h>
#include <LibDetection/DetectionUnits.h>

namespace jaybridge {

/// Share of bad outcomes of a healthy and of a faulty instance.
struct OutcomeRates {
  Probability Healthy_;
  Probability Faulty_;
};

/// Log-likelihood ratio of a number of Bernoulli observations.
Evidence evidenceOf(const OutcomeRates &Rates, EventCount Good, EventCount Bad);

enum class TestVerdict { Undecided, Healthy, Faulty };

/// Sequential probability ratio test on Bernoulli observations (A. Wald,
/// Sequential Tests of Statistical Hypotheses, 1945). Decides once; the error
/// rates hold for this one decision.
class SequentialTest {
public:
  /// FalseAlarm: chance to call a healthy instance faulty. Missed: chance to
  /// call a faulty instance healthy. Both above 0 and below 0.5.
  static Result<SequentialTest> create(ErrorRate FalseAlarm, ErrorRate Missed);

  void add(Evidence Observed);
  TestVerdict verdict() const { return Verdict_; }

private:
  SequentialTest(Evidence Upper, Evidence Lower)
      : Upper_(Upper), Lower_(Lower) {}

  Evidence Upper_;
  Evidence Lower_;
  Evidence Sum_;
  TestVerdict Verdict_ = TestVerdict::Undecided;
};

/// Threshold for a test that runs all the time: the cumulative sum of E. S.
/// Page (Continuous Inspection Schemes, 1954), which restarts at 0. With the
/// threshold h its mean number of observations between false alarms is at
/// least e^h (G. Lorden, 1971).
///
/// The profile's error rate is the expected number of false ejections per
/// healthy instance-hour and test, at up to 1,000 observations per second of
/// an instance.
Evidence alarmThreshold(ErrorRate PerInstanceHour);

} // namespace jaybridge
