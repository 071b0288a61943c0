#include <LibDetection/SequentialTest.h>

#include <cmath>

namespace jaybridge {

LogLikelihoodRatio logLikelihoodRatio(const OutcomeRates &Rates,
                                      EventCount Good, EventCount Bad) {
  double Healthy = Rates.Healthy_.value();
  double Faulty = Rates.Faulty_.value();
  return LogLikelihoodRatio(static_cast<double>(Bad.value()) *
                                std::log(Faulty / Healthy) +
                            static_cast<double>(Good.value()) *
                                std::log((1 - Faulty) / (1 - Healthy)));
}

Result<SequentialTest> SequentialTest::create(ErrorRate FalseAlarm,
                                              ErrorRate MissedDetection) {
  auto IsPermitted = [](ErrorRate Rate) {
    return Rate > ErrorRate(0) && Rate < ErrorRate(0.5);
  };
  if (!IsPermitted(FalseAlarm) || !IsPermitted(MissedDetection))
    return Error{ErrorCode::Invalid, "error rates must be above 0, below 0.5",
                 "error-rate"};
  double Alpha = FalseAlarm.value();
  double Beta = MissedDetection.value();
  return SequentialTest(LogLikelihoodRatio(std::log((1 - Beta) / Alpha)),
                        LogLikelihoodRatio(std::log(Beta / (1 - Alpha))));
}

void SequentialTest::add(LogLikelihoodRatio Observed) {
  if (Verdict_ != TestVerdict::Undecided)
    return;
  Sum_ += Observed;
  if (Sum_ >= UpperThreshold_)
    Verdict_ = TestVerdict::Faulty;
  else if (Sum_ <= LowerThreshold_)
    Verdict_ = TestVerdict::Healthy;
}

LogLikelihoodRatio alarmThreshold(ErrorRate FalseAlarmsPerInstanceHour) {
  constexpr double ObservationsPerHour = 1000.0 * 3600.0;
  return LogLikelihoodRatio(
      std::log(ObservationsPerHour / FalseAlarmsPerInstanceHour.value()));
}

} // namespace jaybridge
