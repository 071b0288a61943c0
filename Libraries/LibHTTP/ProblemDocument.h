#pragma once

#include <LibExchange/Answer.h>

#include <string>

namespace jaybridge {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// Reason phrase of a status code (RFC 9110); empty when the code is not
/// listed.
const char *reasonPhrase(StatusCode Status);

/// Problem document in JSON that describes a refusal (RFC 9457).
std::string problemDocumentOf(const Refusal &Refused);

/// Value of `Retry-After` in seconds with three decimal places, rounded up.
std::string fractionalRetryAfterSeconds(Duration RetryAfter);

/// Value of `Retry-After` in whole seconds, rounded up.
std::string retryAfterSeconds(Duration RetryAfter);

} // namespace jaybridge
