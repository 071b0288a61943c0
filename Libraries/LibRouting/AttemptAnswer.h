#pragma once

#include <LibExchange/Answer.h>
#include <LibRouting/RequestExecution.h>

namespace jaybridge {

/// Minimum time after which a caller may retry a request that no instance ran.
inline constexpr Duration MinRetryAfter = 100ms;

/// Stable name of the result in traces.
const char *attemptResultName(AttemptResult Result);

/// Answer for the caller after the last attempt has ended. The outcome of a
/// refusal follows from all attempts of the request.
Answer answerAfter(const RequestExecution &Execution,
                   const AttemptOutcome &AttemptEnd);

/// True when the request is answered with this result even if it could be
/// retried.
bool isFinal(const RequestExecution &Execution,
             const AttemptOutcome &AttemptEnd);

} // namespace jaybridge
