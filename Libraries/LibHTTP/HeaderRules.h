#pragma once

#include <LibExchange/Request.h>

#include <string_view>
#include <vector>

namespace jaybridge {

inline constexpr const char *DeadlineHeader = "Jaybridge-Deadline-Ms";
inline constexpr const char *RequestIdHeader = "Jaybridge-Request-Id";
inline constexpr const char *ConfigurationVersionHeader =
    "Jaybridge-Configuration-Version";
inline constexpr const char *OutcomeHeader = "Jaybridge-Outcome";
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";
/// Value of `Jaybridge-Outcome` with which an upstream states that it did not
/// run the request.
inline constexpr const char *OutcomeNotRun = "not-run";

/// Compares header names case-insensitively.
bool isSameHeaderName(std::string_view Left, std::string_view Right);

/// Returns the first header of this name, or null.
const Header *findHeader(const std::vector<Header> &Headers,
                         std::string_view Name);

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1), including those
/// listed in `Connection`, as well as `Expect` and the deadline, request id and
/// configuration version headers.
void removeHopByHopHeaders(std::vector<Header> &Headers);

} // namespace jaybridge
