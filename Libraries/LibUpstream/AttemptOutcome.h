#pragma once

#include <LibCore/Time.h>
#include <LibExchange/Answer.h>

#include <optional>

namespace jaybridge {

enum class AttemptResult {
  /// The complete response arrived.
  Answered,
  /// The upstream reported that it did not run the request.
  RefusedNotRun,
  /// The connection could not be established, so no byte was sent.
  ConnectFailed,
  /// The connection was closed before the first byte of a response.
  ConnectionLost,
  /// The connection was closed in the middle of the response.
  ResponseTruncated,
  /// The response exceeds the configured size limit.
  ResponseTooLarge,
  TimedOut,
  /// The gateway cancelled the attempt.
  Cancelled,
};

/// Lowest HTTP status code that reports a failure of the upstream itself.
constexpr StatusCode MinServerErrorStatus(500);

/// Result of sending a request to an instance once.
struct AttemptOutcome {
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  /// Set when Result_ is Answered or RefusedNotRun.
  Response Response_;
  /// Number of requests at the instance, including queued ones, as reported by
  /// the instance.
  std::optional<SlotCount> ReportedLoad_;
  Duration Elapsed_{};
};

/// Returns true when it is certain that the upstream did not run the request.
constexpr bool isProvablyNotRun(AttemptResult Result) {
  return Result == AttemptResult::RefusedNotRun ||
         Result == AttemptResult::ConnectFailed;
}

/// Returns true when the connection ended before the complete response, as it
/// does when the instance ends.
constexpr bool isConnectionCut(AttemptResult Result) {
  return Result == AttemptResult::ConnectionLost ||
         Result == AttemptResult::ResponseTruncated;
}

} // namespace jaybridge
