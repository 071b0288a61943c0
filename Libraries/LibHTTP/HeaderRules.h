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
/// Value of `Jaybridge-Outcome` by which an upstream states that it did not
/// run the request.
inline constexpr const char *OutcomeNotRun = "not-run";

/// Compares header names without regard to case.
bool isSameHeaderName(std::string_view Left, std::string_view Right);

/// First header of that name; null when there is none.
const Header *findHeader(const std::vector<Header> &Headers,
                         std::string_view Name);

/// Removes the headers that concern one connection only (RFC 9110, section
/// 7.6.1), those that `Connection` names included, and this system's own ones.
void removeHopByHopHeaders(std::vector<Header> &Headers);

} // namespace jaybridge
