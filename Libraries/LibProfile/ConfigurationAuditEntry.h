#pragma once

#include <LibProfile/ConfigurationChange.h>

#include <string>
#include <variant>

namespace jaybridge {

/// Audit record of one change: its author, time, base version, difference and
/// outcome. A resend of the change is answered from the same record.
struct ConfigurationAuditEntry {
  ChangeRequestId RequestId_;
  OperatorName Author_;
  WallTime At_{};
  ConfigurationVersion BasedOn_;
  std::string Difference_;
  Fingerprint Content_;
  /// The version that the change produced, or the error it was refused with.
  std::variant<ConfigurationVersion, Error> Outcome_;

  bool isAccepted() const { return Outcome_.index() == 0; }

  friend bool operator==(const ConfigurationAuditEntry &,
                         const ConfigurationAuditEntry &) = default;
};

} // namespace jaybridge
