#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Share of requests, 0 to 1.
using FaultShare = Quantity<struct FaultShareTag, double>;
/// Multiple of the usual service time, at least 1.
using SlowFactor = Quantity<struct SlowFactorTag, double>;

/// Gray faults of a fake upstream. Shares are drawn for each request.
struct FakeFaults {
  /// Runs the request and answers with 500.
  FaultShare Fail_;
  /// Never answers; the slot stays in use until the connection ends.
  FaultShare Hang_;
  /// Runs the request and closes the connection inside the answer.
  FaultShare Cut_;
  /// Runs the request and closes the connection without an answer.
  FaultShare Lose_;
  /// Closes the kept-alive connection after the answer, without notice.
  FaultShare Close_;
  SlowFactor Slow_{1};
  /// A request whose body contains this text ends the process.
  std::string CrashBody_;
  /// Probes are answered with 503, although work succeeds.
  bool FailProbes_ = false;

  /// Reads {"fail":0.5,"hang":0,"cut":0,"lose":0,"close":0,"slow":3,
  /// "crash_body":"x","fail_probes":false}; what is left out is without fault.
  static Result<FakeFaults> create(std::string_view JSON);
};

} // namespace jaybridge
