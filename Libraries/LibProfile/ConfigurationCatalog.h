#pragma once

#include <LibProfile/ChangeHistory.h>
#include <LibProfile/ServicePolicy.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// The content of a catalog as plain values, for snapshots and messages.
struct ConfigurationSnapshot {
  ConfigurationVersion Version_;
  std::vector<ProfileDraft> Profiles_;
  std::vector<AssignService> Assignments_;
  /// Oldest first. May be empty where resends are not answered.
  std::vector<ConfigurationAuditEntry> Accepted_;
  std::vector<ConfigurationAuditEntry> Refused_;

  friend bool operator==(const ConfigurationSnapshot &,
                         const ConfigurationSnapshot &) = default;
};

/// All profiles and the assignment of services to them. The version covers the
/// whole catalog and rises by one with each accepted change; a change must be
/// based on the version in force, so of all changes based on one version
/// exactly one is accepted. Equal changes in equal order give equal catalogs.
class ConfigurationCatalog {
public:
  static constexpr std::size_t MaxProfiles = 4096;
  /// Four times the 3,400 services expected in two years, rounded up.
  static constexpr std::size_t MaxAssignments = 16384;

  ConfigurationCatalog() = default;
  /// Refuses a snapshot that breaks a rule of the catalog, as damaged.
  static Result<ConfigurationCatalog> create(const ConfigurationSnapshot &From);

  /// The version that the change produced. A change with a remembered request
  /// id is not applied again but gets its first answer. Errors: `Conflict` when
  /// based on an older version, naming the change that won; `Invalid` with
  /// field and permitted range; `NotFound` for an unknown profile; `Full`.
  Result<ConfigurationVersion> apply(const ConfigurationChange &Change);

  ConfigurationVersion version() const { return Version_; }
  std::optional<ServicePolicy> policyFor(const ServiceName &Service) const;
  /// All assigned services, ordered by name.
  std::vector<ServicePolicy> policies() const;
  /// Ordered by name.
  std::vector<Profile> profiles() const;

  /// The change that was accepted on top of BasedOn, while remembered.
  std::optional<ConfigurationAuditEntry>
  findAcceptedChange(ConfigurationVersion BasedOn) const;
  /// What became of a change, while remembered.
  std::optional<ConfigurationAuditEntry>
  auditOf(const ChangeRequestId &Id) const;

  ConfigurationSnapshot snapshot() const;
  /// Without the history of changes: what a daemon without operators needs.
  ConfigurationSnapshot snapshotWithoutHistory() const;

private:
  /// What the change makes different, after it was made, or why it was not.
  Result<std::string> perform(const ConfigurationChange &Change);
  Result<std::string> perform(const CreateProfile &Create);
  Result<std::string> perform(const UpdateProfile &Update);
  Result<std::string> perform(const AssignService &Assign);
  Status checkVersion(ConfigurationVersion BasedOn) const;

  ConfigurationVersion Version_;
  std::map<ProfileName, Profile> Profiles_;
  std::map<ServiceName, ProfileName> Assignments_;
  ChangeHistory History_;
};

} // namespace jaybridge
