#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/TraceMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the operator requests and their answers that daemons forward to
/// each other, with a checksum. Decoding fails with `Damaged`.
std::string encodeConfigurationMessage(const ConfigurationMessage &Message);
Result<ConfigurationMessage>
decodeConfigurationMessage(std::string_view Encoded);

std::string encodeTraceMessage(const TraceMessage &Message);
Result<TraceMessage> decodeTraceMessage(std::string_view Encoded);

} // namespace jaybridge
