#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>
#include <LibExchange/Request.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// Complete response of an upstream instance.
struct Response {
  StatusCode Status_;
  std::vector<Header> Headers_;
  Body Body_;
};

/// Whether an upstream executed a refused request, as far as is known.
enum class Outcome { NotRun, Ran, Unknown };

/// Cause of a refusal; refusalReasonName() gives its name on the wire.
enum class RefusalReason {
  UnknownService,
  NoInstance,
  Overloaded,
  QueueFull,
  DeadlinePassed,
  CallerGone,
  Draining,
  NotReady,
  BadRequest,
  BodyTooLarge,
  AnswerTooLarge,
  AnswerCutShort,
  ConnectionLost,
  UpstreamTimeout,
  UpstreamUnavailable,
  InProgress,
  KeyInvalid,
  KeyExpired,
  KeyReused,
  LedgerUnavailable,
  AnswerNotStored,
  CrashesUpstreams,
  HomeLost,
  /// The request has no key that a team of the configuration in force has.
  Unauthorized,
  /// The request exceeds the limit of its team.
  RateLimited,
};

/// Codecs accept reasons up to this one.
inline constexpr RefusalReason LastRefusalReason = RefusalReason::RateLimited;

/// Final result of a request that gets no response of an upstream.
struct Refusal {
  Outcome Outcome_ = Outcome::Unknown;
  RefusalReason Reason_ = RefusalReason::UpstreamUnavailable;
  /// Delay after which the caller should retry; none if a retry is pointless.
  std::optional<Duration> RetryAfter_;
  /// Human-readable explanation.
  std::string Detail_;
};

/// Final result of a request. Every request gets exactly one.
using Answer = std::variant<Response, Refusal>;

/// Stable machine-readable names, as used in problem documents (RFC 9457).
const char *outcomeName(Outcome Value);
const char *refusalReasonName(RefusalReason Reason);

/// HTTP status code for the outcome and the reason of a refusal.
StatusCode statusOf(const Refusal &Refused);

} // namespace jaybridge
