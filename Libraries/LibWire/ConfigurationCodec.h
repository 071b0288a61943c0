#pragma once

#include <LibProfile/ConfigurationCatalog.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of configuration changes (commands of the replicated log) and of
/// the catalog (state in its snapshots), with a checksum. Decoding fails with
/// `Damaged`; the catalog checks whether the values are permitted.
std::string encodeConfigurationChange(const ConfigurationChange &Change);
Result<ConfigurationChange> decodeConfigurationChange(std::string_view Encoded);

std::string encodeConfigurationSnapshot(const ConfigurationSnapshot &Snapshot);
Result<ConfigurationSnapshot>
decodeConfigurationSnapshot(std::string_view Encoded);

} // namespace jaybridge
