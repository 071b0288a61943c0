#pragma once

#include <LibWire/ConfigurationCodec.h>

namespace jaybridge {

/// Encodes configuration changes and snapshots for messages between daemons and
/// for the data folder.
struct ConfigurationWireCodec {
  static std::string encode(const ConfigurationChange &Change) {
    return encodeConfigurationChange(Change);
  }
  static std::string encode(const ConfigurationSnapshot &Snapshot) {
    return encodeConfigurationSnapshot(Snapshot);
  }
  static Result<ConfigurationChange> decodeChange(const std::string &Text) {
    return decodeConfigurationChange(Text);
  }
  static Result<ConfigurationSnapshot> decodeSnapshot(const std::string &Text) {
    return decodeConfigurationSnapshot(Text);
  }
};

} // namespace jaybridge
