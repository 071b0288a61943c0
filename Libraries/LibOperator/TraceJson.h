#pragma once

#include <LibTrace/AuditTrail.h>
#include <LibTrace/RequestHistory.h>

#include <nlohmann/json_fwd.hpp>

namespace jaybridge {

/// JSON object with the steps of a request; times in microseconds since its
/// first step.
nlohmann::json traceJson(const std::vector<TimedStep> &Steps);
/// JSON object with audit entries; times in milliseconds since the Unix epoch.
nlohmann::json auditJson(const std::vector<AuditEntry> &Entries);

} // namespace jaybridge
