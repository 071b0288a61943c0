#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Share of requests, 0 to 1.
using FaultShare = Quantity<struct FaultShareTag, double>;
/// Multiple of the configured service time, at least 1.
using SlowFactor = Quantity<struct SlowFactorTag, double>;

/// Gray failures that a fake upstream injects. At most one of the failures
/// fail, hang, truncate and drop is drawn for each request, so their shares
/// should add up to at most 1.
struct FakeFaults {
  /// Runs the request and responds with status 500.
  FaultShare FailShare_;
  /// Never responds; the request holds its slot until the caller closes the
  /// connection.
  FaultShare HangShare_;
  /// Runs the request and closes the connection within the response body.
  FaultShare TruncateShare_;
  /// Runs the request and closes the connection without a response.
  FaultShare DropShare_;
  /// Closes the persistent connection after the response, without a
  /// `Connection: close` header.
  FaultShare CloseShare_;
  SlowFactor SlowFactor_{1};
  /// A request whose body contains this text crashes the process. Empty: none.
  std::string CrashMarker_;
  /// Responds to probes with status 503, although other requests succeed.
  bool FailProbes_ = false;

  /// Parses {"fail":0.5,"hang":0,"cut":0,"lose":0,"close":0,"slow":3,
  /// "crash_body":"x","fail_probes":false}; a missing field keeps its default,
  /// which injects no fault. Fails with ErrorCode::Invalid on an unknown field
  /// or an invalid value.
  static Result<FakeFaults> create(std::string_view JSON);
};

} // namespace jaybridge
