#pragma once

#include <LibCore/Time.h>
#include <LibExchange/Answer.h>

#include <optional>

namespace jaybridge {

enum class AttemptResult {
  /// A whole answer arrived.
  Answered,
  /// The upstream stated that it did not run the request.
  RefusedNotRun,
  /// No connection, so that no byte was sent.
  ConnectFailed,
  /// The connection ended before any byte of an answer.
  ConnectionLost,
  /// The connection ended inside the answer.
  ResponseTruncated,
  /// The answer is greater than the stated limit.
  ResponseTooLarge,
  TimedOut,
  /// Cancelled by the gateway itself.
  Cancelled,
};

/// The least status by which an upstream says that it failed itself.
constexpr StatusCode MinServerErrorStatus(500);

/// How one dispatch of a request to an instance ended.
struct AttemptOutcome {
  AttemptResult Result_ = AttemptResult::ConnectionLost;
  /// Set when Result_ is Answered or RefusedNotRun.
  Response Response_;
  /// Requests that the instance had, waiting ones included, by its own word.
  std::optional<SlotCount> ReportedLoad_;
  Duration Elapsed_{};
};

/// True when the upstream certainly did not run the request.
constexpr bool isProvablyNotRun(AttemptResult Result) {
  return Result == AttemptResult::RefusedNotRun ||
         Result == AttemptResult::ConnectFailed;
}

} // namespace jaybridge
