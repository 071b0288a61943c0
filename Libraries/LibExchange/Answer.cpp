#include <LibExchange/Answer.h>

namespace jaybridge {

const char *outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *refusalReasonName(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::UnknownService:
    return "unknown-service";
  case RefusalReason::NoInstance:
    return "no-instance";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::CallerGone:
    return "caller-gone";
  case RefusalReason::Draining:
    return "draining";
  case RefusalReason::NotReady:
    return "not-ready";
  case RefusalReason::BadRequest:
    return "bad-request";
  case RefusalReason::BodyTooLarge:
    return "body-too-large";
  case RefusalReason::AnswerTooLarge:
    return "answer-too-large";
  case RefusalReason::AnswerCutShort:
    return "answer-cut-short";
  case RefusalReason::ConnectionLost:
    return "connection-lost";
  case RefusalReason::UpstreamTimeout:
    return "upstream-timeout";
  case RefusalReason::UpstreamUnavailable:
    return "upstream-unavailable";
  case RefusalReason::InProgress:
    return "in-progress";
  case RefusalReason::KeyInvalid:
    return "key-invalid";
  case RefusalReason::KeyExpired:
    return "key-expired";
  case RefusalReason::KeyReused:
    return "key-reused";
  case RefusalReason::LedgerUnavailable:
    return "ledger-unavailable";
  case RefusalReason::AnswerNotStored:
    return "answer-not-stored";
  case RefusalReason::CrashesUpstreams:
    return "crashes-upstreams";
  case RefusalReason::HomeLost:
    return "home-lost";
  case RefusalReason::Unauthorized:
    return "unauthorized";
  case RefusalReason::RateLimited:
    return "rate-limited";
  case RefusalReason::ReceiveTimeout:
    return "receive-timeout";
  case RefusalReason::AwaitsTurn:
    return "awaits-turn";
  }
  return "internal";
}

StatusCode statusOf(const Refusal &Refused) {
  constexpr StatusCode BadRequest(400);
  constexpr StatusCode Unauthorized(401);
  constexpr StatusCode NotFound(404);
  constexpr StatusCode RequestTimeout(408);
  constexpr StatusCode Conflict(409);
  constexpr StatusCode ContentTooLarge(413);
  constexpr StatusCode Unprocessable(422);
  constexpr StatusCode TooManyRequests(429);
  constexpr StatusCode BadGateway(502);
  constexpr StatusCode Unavailable(503);
  constexpr StatusCode GatewayTimeout(504);
  switch (Refused.Reason_) {
  case RefusalReason::UnknownService:
    return NotFound;
  case RefusalReason::Unauthorized:
    return Unauthorized;
  case RefusalReason::BadRequest:
  case RefusalReason::KeyInvalid:
    return BadRequest;
  case RefusalReason::KeyReused:
    return Unprocessable;
  case RefusalReason::BodyTooLarge:
    return ContentTooLarge;
  case RefusalReason::ReceiveTimeout:
    return RequestTimeout;
  case RefusalReason::InProgress:
  case RefusalReason::AnswerNotStored:
    return Conflict;
  case RefusalReason::RateLimited:
    return Refused.Outcome_ == Outcome::NotRun ? TooManyRequests
                                               : GatewayTimeout;
  case RefusalReason::AnswerTooLarge:
  case RefusalReason::AnswerCutShort:
  case RefusalReason::ConnectionLost:
    return BadGateway;
  default:
    return Refused.Outcome_ == Outcome::NotRun ? Unavailable : GatewayTimeout;
  }
}

} // namespace jaybridge
