#include <LibTrace/AuditTrail.h>

#include <array>

namespace jaybridge {

namespace {

constexpr std::array AllKinds = {
    AuditKind::ConfigurationChanged,   AuditKind::ConfigurationRefused,
    AuditKind::InstanceEjected,        AuditKind::InstanceReturned,
    AuditKind::EjectionWithheld,       AuditKind::AuthorityTaken,
    AuditKind::FingerprintQuarantined, AuditKind::MemberReplaced,
};

bool matches(const AuditEntry &Entry, const AuditQuery &Query) {
  if (Query.Since_ && Entry.At_ < *Query.Since_)
    return false;
  if (Query.Service_ && Entry.Service_ != *Query.Service_)
    return false;
  return !Query.Kind_ || Entry.Kind_ == *Query.Kind_;
}

} // namespace

const char *auditKindName(AuditKind Kind) {
  switch (Kind) {
  case AuditKind::ConfigurationChanged:
    return "configuration-changed";
  case AuditKind::ConfigurationRefused:
    return "configuration-refused";
  case AuditKind::InstanceEjected:
    return "instance-ejected";
  case AuditKind::InstanceReturned:
    return "instance-returned";
  case AuditKind::EjectionWithheld:
    return "ejection-withheld";
  case AuditKind::AuthorityTaken:
    return "authority-taken";
  case AuditKind::FingerprintQuarantined:
    return "fingerprint-quarantined";
  case AuditKind::MemberReplaced:
    return "member-replaced";
  }
  return "configuration-changed";
}

std::optional<AuditKind> parseAuditKind(const std::string &Name) {
  for (AuditKind Kind : AllKinds)
    if (Name == auditKindName(Kind))
      return Kind;
  return std::nullopt;
}

void AuditTrail::append(AuditEntry Entry) {
  Entries_.push_back(std::move(Entry));
  if (Entries_.size() > MaxEntryCount)
    Entries_.pop_front();
}

std::vector<AuditEntry> AuditTrail::findEntries(const AuditQuery &Query) const {
  std::vector<AuditEntry> FoundEntries;
  for (const AuditEntry &Entry : Entries_)
    if (matches(Entry, Query))
      FoundEntries.push_back(Entry);
  return FoundEntries;
}

} // namespace jaybridge
