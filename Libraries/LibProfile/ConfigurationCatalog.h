#pragma once

#include <LibProfile/ChangeHistory.h>
#include <LibProfile/ServicePolicy.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// The content of a catalog as plain values, for storage and messages.
struct ConfigurationSnapshot {
  ConfigurationVersion Version_;
  std::vector<ProfileDraft> Profiles_;
  std::vector<AssignService> Assignments_;
  /// Oldest first. Empty on daemons that do not serve operators and so never
  /// answer resends.
  std::vector<ConfigurationAuditEntry> Accepted_;
  std::vector<ConfigurationAuditEntry> Refused_;

  friend bool operator==(const ConfigurationSnapshot &,
                         const ConfigurationSnapshot &) = default;
};

/// All profiles and the assignment of services to them. The version covers the
/// whole catalog and increases by one with each accepted change. A change must
/// be based on the current version (optimistic concurrency control), so at most
/// one of the changes based on a version is accepted. Deterministic: the same
/// changes in the same order produce the same catalog.
class ConfigurationCatalog {
public:
  static constexpr std::size_t MaxProfiles = 4096;
  /// Four times the 3,400 services expected within two years, rounded up.
  static constexpr std::size_t MaxAssignments = 16384;

  ConfigurationCatalog() = default;
  /// Errors: `Damaged` for a snapshot that violates an invariant of the
  /// catalog.
  static Result<ConfigurationCatalog>
  create(const ConfigurationSnapshot &Snapshot);

  /// Returns the version that the change produced. A resend, recognized by its
  /// request id while in the history, returns the first outcome and is not
  /// applied again. Errors: `Conflict` when based on an older version, naming
  /// the change that was accepted instead, or when the profile to create
  /// exists; `Invalid` with field and permitted range; `NotFound` for an
  /// unknown profile; `Full`.
  Result<ConfigurationVersion> apply(const ConfigurationChange &Change);

  ConfigurationVersion version() const { return Version_; }
  std::optional<ServicePolicy> policyFor(const ServiceName &Service) const;
  /// Policies of all assigned services, ordered by service name.
  std::vector<ServicePolicy> policies() const;
  /// All profiles, ordered by name.
  std::vector<Profile> profiles() const;

  /// The accepted change that was based on BasedOn, while in the history.
  std::optional<ConfigurationAuditEntry>
  findAcceptedChange(ConfigurationVersion BasedOn) const;
  /// The audit entry of a change, while in the history.
  std::optional<ConfigurationAuditEntry>
  auditOf(const ChangeRequestId &Id) const;

  ConfigurationSnapshot snapshot() const;
  /// Omits the history of changes, which only serves operators.
  ConfigurationSnapshot snapshotWithoutHistory() const;

private:
  /// Applies the change and describes the difference. The catalog is unchanged
  /// on error.
  Result<std::string> applyAction(const ConfigurationChange &Change);
  Result<std::string> applyAction(const CreateProfile &Create);
  Result<std::string> applyAction(const UpdateProfile &Update);
  Result<std::string> applyAction(const AssignService &Assign);
  Status checkVersion(ConfigurationVersion BasedOn) const;

  ConfigurationVersion Version_;
  std::map<ProfileName, Profile> Profiles_;
  std::map<ServiceName, ProfileName> Assignments_;
  ChangeHistory History_;
};

} // namespace jaybridge
