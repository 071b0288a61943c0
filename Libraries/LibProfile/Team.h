#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/TeamName.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// Requests per second.
using RequestRate = Quantity<struct RequestRateTag, double>;
/// Number of requests, also a fraction of one while tokens accumulate.
using RequestTokens = Quantity<struct RequestTokensTag, double>;

/// Limit of a team over all gateways together.
struct TeamLimit {
  RequestRate Rate_;
  RequestTokens Burst_;

  friend bool operator==(const TeamLimit &, const TeamLimit &) = default;
};

/// Limits of the teams that have one.
using TeamLimits = std::map<TeamName, TeamLimit>;

} // namespace jaybridge
