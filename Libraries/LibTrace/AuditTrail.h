#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// Kind of an audit entry. The names returned by auditKindName() are part of
/// the operators' interface.
enum class AuditKind {
  ConfigurationChanged,
  ConfigurationRefused,
  InstanceEjected,
  InstanceReturned,
  /// An instance is unhealthy, but the floor permits no further ejection.
  EjectionWithheld,
  /// A daemon became the ejection authority of a service.
  AuthorityTaken,
  FingerprintQuarantined,
  MemberReplaced,
};

const char *auditKindName(AuditKind Kind);
/// Inverse of auditKindName(); empty for an unknown name.
std::optional<AuditKind> parseAuditKind(const std::string &Name);

/// One configuration change or automatic action of the fleet, with its cause.
struct AuditEntry {
  WallTime At_;
  AuditKind Kind_ = AuditKind::ConfigurationChanged;
  /// Operator or daemon that made the change or took the action.
  std::string Actor_;
  ServiceName Service_;
  ConfigurationVersion BasedOn_;
  ConfigurationVersion Version_;
  ChangeRequestId RequestId_;
  /// Difference to the previous configuration, or the evidence for the action.
  std::string Detail_;
  std::string Outcome_;
};

/// Filter for audit entries; an empty field matches all entries.
struct AuditQuery {
  std::optional<WallTime> Since_;
  std::optional<ServiceName> Service_;
  std::optional<AuditKind> Kind_;
};

/// Holds the newest audit entries in memory, up to MaxEntryCount. By design
/// (docs/design.md) the audit files of the control members hold all entries.
class AuditTrail {
public:
  static constexpr std::size_t MaxEntryCount = 10000;

  void append(AuditEntry Entry);
  std::vector<AuditEntry> findEntries(const AuditQuery &Query) const;

private:
  std::deque<AuditEntry> Entries_;
};

} // namespace jaybridge
