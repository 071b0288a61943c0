#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>
#include <LibExchange/Request.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// A whole answer of an upstream.
struct Response {
  StatusCode Status_;
  std::vector<Header> Headers_;
  Body Body_;
};

/// What is certain about the execution of a refused request.
enum class Outcome { NotRun, Ran, Unknown };

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
};

struct Refusal {
  Outcome Outcome_ = Outcome::Unknown;
  RefusalReason Reason_ = RefusalReason::UpstreamUnavailable;
  /// When trying again makes sense; none when it does not.
  std::optional<Duration> RetryAfter_;
  std::string Detail_;
};

/// Every request ends in exactly one of these.
using Answer = std::variant<Response, Refusal>;

/// Stable machine-readable names, as used in problem documents.
const char *outcomeName(Outcome Certainty);
const char *refusalReasonName(RefusalReason Reason);

/// HTTP status that agrees with a refusal's outcome and reason.
StatusCode statusOf(const Refusal &Refused);

} // namespace jaybridge
