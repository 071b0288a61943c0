#include <LibRouting/AttemptAnswer.h>

namespace jaybridge {

namespace {

RefusalReason refusalReasonAfter(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
  case AttemptResult::RefusedNotRun:
  case AttemptResult::ConnectFailed:
    return RefusalReason::UpstreamUnavailable;
  case AttemptResult::ConnectionLost:
    return RefusalReason::ConnectionLost;
  case AttemptResult::ResponseTruncated:
    return RefusalReason::AnswerCutShort;
  case AttemptResult::ResponseTooLarge:
    return RefusalReason::AnswerTooLarge;
  case AttemptResult::TimedOut:
  case AttemptResult::Cancelled:
    return RefusalReason::UpstreamTimeout;
  }
  return RefusalReason::UpstreamUnavailable;
}

} // namespace

const char *attemptResultName(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::RefusedNotRun:
    return "refused-not-run";
  case AttemptResult::ConnectFailed:
    return "connect-failed";
  case AttemptResult::ConnectionLost:
    return "connection-lost";
  case AttemptResult::ResponseTruncated:
    return "cut-short";
  case AttemptResult::ResponseTooLarge:
    return "too-large";
  case AttemptResult::TimedOut:
    return "timed-out";
  case AttemptResult::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

Answer answerAfter(const RequestExecution &Execution,
                   const AttemptOutcome &AttemptEnd) {
  if (AttemptEnd.Result_ == AttemptResult::Answered)
    return AttemptEnd.Response_;
  Outcome KnownOutcome = AttemptEnd.Result_ == AttemptResult::ResponseTooLarge
                             ? Outcome::Ran
                             : Execution.knownOutcome();
  Refusal Refused{
      KnownOutcome, refusalReasonAfter(AttemptEnd.Result_), std::nullopt, {}};
  if (KnownOutcome == Outcome::NotRun)
    Refused.RetryAfter_ = MinRetryAfter;
  return Refused;
}

bool isFinal(const RequestExecution &Execution,
             const AttemptOutcome &AttemptEnd) {
  if (AttemptEnd.Result_ == AttemptResult::ResponseTooLarge)
    return true;
  if (AttemptEnd.Result_ != AttemptResult::Answered)
    return false;
  return !Execution.isRepeatable() ||
         AttemptEnd.Response_.Status_ < MinServerErrorStatus;
}

} // namespace jaybridge
