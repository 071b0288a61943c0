#pragma once

#include <LibCore/Result.h>
#include <LibDetection/EvidenceReport.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the messages between gateways and the ejection authority of a
/// service.
std::string encodeEvidenceReport(const EvidenceReport &Message);
std::string encodeEjectionList(const EjectionList &Message);

/// Fail with `Damaged` on malformed bytes.
Result<EvidenceReport> decodeEvidenceReport(std::string_view Payload);
Result<EjectionList> decodeEjectionList(std::string_view Payload);

} // namespace jaybridge
