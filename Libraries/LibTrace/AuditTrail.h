#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

enum class AuditKind {
  ConfigurationChanged,
  ConfigurationRefused,
  InstanceEjected,
  InstanceReturned,
  /// An instance is bad, but the floor permits no further ejection.
  EjectionWithheld,
  AuthorityTaken,
  FingerprintQuarantined,
  MemberReplaced,
};

const char *auditKindName(AuditKind Kind);
std::optional<AuditKind> parseAuditKind(const std::string &Name);

/// One change or act of the fleet, with what led to it.
struct AuditEntry {
  WallTime At_;
  AuditKind Kind_ = AuditKind::ConfigurationChanged;
  /// Operator or daemon that acted.
  std::string Actor_;
  ServiceName Service_;
  ConfigurationVersion BasedOn_;
  ConfigurationVersion Version_;
  ChangeRequestId RequestId_;
  /// What differed, or the evidence.
  std::string Detail_;
  std::string Outcome_;
};

/// Which entries a reader asks for; empty fields match all.
struct AuditQuery {
  std::optional<WallTime> Since_;
  std::optional<ServiceName> Service_;
  std::optional<AuditKind> Kind_;
};

/// The newest audit entries in memory; all of them are in the audit files.
class AuditTrail {
public:
  static constexpr std::size_t MaxEntryCount = 10000;

  void append(AuditEntry Entry);
  std::vector<AuditEntry> findEntries(const AuditQuery &Query) const;

private:
  std::deque<AuditEntry> Entries_;
};

} // namespace jaybridge
