#pragma once

#include <LibProfile/ConfigurationChange.h>

#include <string>
#include <variant>

namespace jaybridge {

/// What became of one change: who asked for what, when, based on which version,
/// what differed and the answer that was given. Also serves to answer resends.
struct ConfigurationAuditEntry {
  ChangeRequestId RequestId_;
  OperatorName Author_;
  WallTime At_{};
  ConfigurationVersion BasedOn_;
  std::string Difference_;
  Fingerprint Content_;
  /// The version that the change produced, or why it was refused.
  std::variant<ConfigurationVersion, Error> Outcome_;

  bool isAccepted() const { return Outcome_.index() == 0; }

  friend bool operator==(const ConfigurationAuditEntry &,
                         const ConfigurationAuditEntry &) = default;
};

} // namespace jaybridge
