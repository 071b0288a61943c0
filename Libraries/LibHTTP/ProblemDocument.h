#pragma once

#include <LibExchange/Answer.h>

#include <string>

namespace jaybridge {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// Reason phrase of a status code (RFC 9110); empty when it has none.
const char *reasonPhrase(StatusCode Status);

/// JSON text of a refusal (RFC 9457).
std::string problemDocumentOf(const Refusal &Refused);

/// Value of `Retry-After` in seconds with three digits after the point.
std::string fractionalRetryAfterSeconds(Duration RetryAfter);

/// Value of `Retry-After` in whole seconds, rounded up.
std::string retryAfterSeconds(Duration RetryAfter);

} // namespace jaybridge
