#include <LibDetection/SequentialTest.h>

#include <cmath>

namespace jaybridge {

Evidence evidenceOf(const OutcomeRates &Rates, EventCount Good,
                    EventCount Bad) {
  double Healthy = Rates.Healthy_.value();
  double Faulty = Rates.Faulty_.value();
  return Evidence(static_cast<double>(Bad.value()) *
                      std::log(Faulty / Healthy) +
                  static_cast<double>(Good.value()) *
                      std::log((1 - Faulty) / (1 - Healthy)));
}

Result<SequentialTest> SequentialTest::create(ErrorRate FalseAlarm,
                                              ErrorRate Missed) {
  auto IsPermitted = [](ErrorRate Rate) {
    return Rate > ErrorRate(0) && Rate < ErrorRate(0.5);
  };
  if (!IsPermitted(FalseAlarm) || !IsPermitted(Missed))
    return Error{ErrorCode::Invalid, "error rates must be above 0, below 0.5",
                 "error-rate"};
  double A = FalseAlarm.value();
  double B = Missed.value();
  return SequentialTest(Evidence(std::log((1 - B) / A)),
                        Evidence(std::log(B / (1 - A))));
}

void SequentialTest::add(Evidence Observed) {
  if (Verdict_ != TestVerdict::Undecided)
    return;
  Sum_ += Observed;
  if (Sum_ >= Upper_)
    Verdict_ = TestVerdict::Faulty;
  else if (Sum_ <= Lower_)
    Verdict_ = TestVerdict::Healthy;
}

Evidence alarmThreshold(ErrorRate PerInstanceHour) {
  constexpr double ObservationsPerHour = 1000.0 * 3600.0;
  return Evidence(std::log(ObservationsPerHour / PerInstanceHour.value()));
}

} // namespace jaybridge
