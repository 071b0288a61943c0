#pragma once

#include <LibTrace/AuditTrail.h>
#include <LibTrace/RequestHistory.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// The steps of a request; times in microseconds since its first step.
nlohmann::json traceJson(const std::vector<TimedStep> &Steps);
nlohmann::json auditJson(const std::vector<AuditEntry> &Entries);

} // namespace jaybridge
