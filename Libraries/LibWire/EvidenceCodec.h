#pragma once

#include <LibCore/Result.h>
#include <LibDetection/EvidenceReport.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeEvidenceReport(const EvidenceReport &Message);
std::string encodeEjectionAnswer(const EjectionList &Message);

/// Fail with `Damaged` on bytes that no codec wrote.
Result<EvidenceReport> decodeEvidenceReport(std::string_view Payload);
Result<EjectionList> decodeEjectionAnswer(std::string_view Payload);

} // namespace jaybridge
