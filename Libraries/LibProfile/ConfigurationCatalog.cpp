#include <LibProfile/ConfigurationCatalog.h>

namespace jaybridge {

namespace {

Error damaged(const std::string &Reason) {
  return Error{ErrorCode::Damaged, "configuration snapshot: " + Reason, {}};
}

Error unknownProfile(const ProfileName &Name) {
  return Error{ErrorCode::NotFound,
               "profile '" + Name.text() + "' does not exist", "profile"};
}

Error limitReached(const char *Field, std::size_t MaxCount) {
  return Error{ErrorCode::Full,
               "at most " + std::to_string(MaxCount) + " are permitted", Field};
}

Result<ConfigurationVersion> outcomeOf(const ConfigurationAuditEntry &Entry) {
  if (const auto *Refused = std::get_if<Error>(&Entry.Outcome_))
    return *Refused;
  return std::get<ConfigurationVersion>(Entry.Outcome_);
}

/// Accepted changes must be contiguous up to the version of the snapshot, since
/// ChangeHistory finds the change based on a version by its position.
Status checkHistory(const ConfigurationSnapshot &Snapshot) {
  std::size_t Count = Snapshot.Accepted_.size();
  if (Count > ChangeHistory::MaxAcceptedEntries ||
      Snapshot.Refused_.size() > ChangeHistory::MaxRefusedEntries ||
      Count > Snapshot.Version_.value())
    return damaged("too many changes");
  ConfigurationVersion Expected(Snapshot.Version_.value() - Count);
  for (const ConfigurationAuditEntry &Entry : Snapshot.Accepted_) {
    if (Entry.BasedOn_ != Expected || !Entry.isAccepted() ||
        std::get<ConfigurationVersion>(Entry.Outcome_) != Expected.next())
      return damaged("accepted changes have a gap");
    Expected = Expected.next();
  }
  for (const ConfigurationAuditEntry &Entry : Snapshot.Refused_)
    if (Entry.isAccepted())
      return damaged("accepted change among the refused ones");
  return success();
}

} // namespace

Result<ConfigurationCatalog>
ConfigurationCatalog::create(const ConfigurationSnapshot &Snapshot) {
  JAYBRIDGE_TRY_STATUS(checkHistory(Snapshot));
  ConfigurationCatalog Catalog;
  for (const ProfileDraft &Draft : Snapshot.Profiles_)
    if (auto Difference = Catalog.applyAction(CreateProfile{Draft});
        !Difference)
      return damaged(Difference.error().Message_);
  for (const AssignService &Assign : Snapshot.Assignments_)
    if (Catalog.Assignments_.contains(Assign.Service_))
      return damaged("service assigned twice");
    else if (auto Difference = Catalog.applyAction(Assign); !Difference)
      return damaged(Difference.error().Message_);
  for (const auto *Entries : {&Snapshot.Accepted_, &Snapshot.Refused_})
    for (const ConfigurationAuditEntry &Entry : *Entries) {
      if (Catalog.History_.find(Entry.RequestId_))
        return damaged("request id used twice");
      Catalog.History_.add(Entry);
    }
  Catalog.Version_ = Snapshot.Version_;
  return Catalog;
}

Result<ConfigurationVersion>
ConfigurationCatalog::apply(const ConfigurationChange &Change) {
  JAYBRIDGE_TRY_STATUS(checkText(Change));
  Fingerprint Content = contentFingerprint(Change);
  if (const auto *Known = History_.find(Change.RequestId_)) {
    if (Known->Content_ == Content)
      return outcomeOf(*Known);
    return Error{ErrorCode::Invalid,
                 "request-id was used by " + Known->Author_.text() +
                     " for another change",
                 "request-id"};
  }
  ConfigurationAuditEntry Entry{Change.RequestId_, Change.Author_, Change.At_,
                                Change.BasedOn_,   std::string(),  Content,
                                Version_.next()};
  auto Difference = applyAction(Change);
  if (Difference) {
    Version_ = Version_.next();
    Entry.Difference_ = Difference.takeValue();
  } else {
    Entry.Outcome_ = Difference.takeError();
  }
  Result<ConfigurationVersion> Outcome = outcomeOf(Entry);
  History_.add(std::move(Entry));
  return Outcome;
}

Result<std::string>
ConfigurationCatalog::applyAction(const ConfigurationChange &Change) {
  JAYBRIDGE_TRY_STATUS(checkVersion(Change.BasedOn_));
  return std::visit([this](const auto &Action) { return applyAction(Action); },
                    Change.Action_);
}

Result<std::string>
ConfigurationCatalog::applyAction(const CreateProfile &Create) {
  JAYBRIDGE_TRY(Profile Checked, Profile::create(Create.Draft_));
  if (Profiles_.contains(Checked.name()))
    return Error{ErrorCode::Conflict,
                 "profile '" + Checked.name().text() + "' already exists",
                 "name"};
  if (Profiles_.size() >= MaxProfiles)
    return limitReached("profile", MaxProfiles);
  Profiles_.emplace(Checked.name(), Checked);
  return describe(Create);
}

Result<std::string>
ConfigurationCatalog::applyAction(const UpdateProfile &Update) {
  JAYBRIDGE_TRY(Profile Checked, Profile::create(Update.Draft_));
  auto Found = Profiles_.find(Checked.name());
  if (Found == Profiles_.end())
    return unknownProfile(Checked.name());
  std::string Difference =
      "profile " + Checked.name().text() + ": " +
      describeDifference(Found->second.values(), Checked.values());
  Found->second = std::move(Checked);
  return Difference;
}

Result<std::string>
ConfigurationCatalog::applyAction(const AssignService &Assign) {
  if (!isPermittedName(Assign.Service_.text()))
    return Error{ErrorCode::Invalid,
                 "service must be 1 to 64 of a-z, 0-9, '-' and '.'", "service"};
  if (!isPermittedName(Assign.Profile_.text()))
    return Error{ErrorCode::Invalid,
                 "profile must be 1 to 64 of a-z, 0-9, '-' and '.'", "profile"};
  if (!Profiles_.contains(Assign.Profile_))
    return unknownProfile(Assign.Profile_);
  auto Found = Assignments_.find(Assign.Service_);
  std::string Before =
      Found == Assignments_.end() ? "unassigned" : Found->second.text();
  if (Found == Assignments_.end() && Assignments_.size() >= MaxAssignments)
    return limitReached("service", MaxAssignments);
  Assignments_.insert_or_assign(Assign.Service_, Assign.Profile_);
  return "service " + Assign.Service_.text() + ": " + Before + " -> " +
         Assign.Profile_.text();
}

Status ConfigurationCatalog::checkVersion(ConfigurationVersion BasedOn) const {
  if (BasedOn == Version_)
    return success();
  std::string InForce = std::to_string(Version_.value());
  if (BasedOn > Version_)
    return Error{ErrorCode::Invalid, "based-on must be 0 to " + InForce,
                 "based-on"};
  std::string Message = "version " + std::to_string(BasedOn.value()) +
                        " is no longer in force; version " + InForce + " is";
  if (const auto *Accepted = History_.findAcceptedChange(BasedOn))
    Message += "; version " + std::to_string(BasedOn.next().value()) +
               " was made by request " + Accepted->RequestId_.text() + " of " +
               Accepted->Author_.text();
  else
    Message += "; the change that replaced it is no longer remembered";
  return Error{ErrorCode::Conflict, std::move(Message), "based-on"};
}

std::optional<ServicePolicy>
ConfigurationCatalog::policyFor(const ServiceName &Service) const {
  auto Found = Assignments_.find(Service);
  if (Found == Assignments_.end())
    return std::nullopt;
  return ServicePolicy{Service, Profiles_.at(Found->second), Version_};
}

std::vector<ServicePolicy> ConfigurationCatalog::policies() const {
  std::vector<ServicePolicy> Policies;
  Policies.reserve(Assignments_.size());
  for (const auto &[Service, Name] : Assignments_)
    Policies.push_back(ServicePolicy{Service, Profiles_.at(Name), Version_});
  return Policies;
}

std::vector<Profile> ConfigurationCatalog::profiles() const {
  std::vector<Profile> AllProfiles;
  AllProfiles.reserve(Profiles_.size());
  for (const auto &Entry : Profiles_)
    AllProfiles.push_back(Entry.second);
  return AllProfiles;
}

std::optional<ConfigurationAuditEntry>
ConfigurationCatalog::findAcceptedChange(ConfigurationVersion BasedOn) const {
  const auto *Accepted = History_.findAcceptedChange(BasedOn);
  return Accepted ? std::optional(*Accepted) : std::nullopt;
}

std::optional<ConfigurationAuditEntry>
ConfigurationCatalog::auditOf(const ChangeRequestId &Id) const {
  const auto *Entry = History_.find(Id);
  return Entry ? std::optional(*Entry) : std::nullopt;
}

ConfigurationSnapshot ConfigurationCatalog::snapshot() const {
  ConfigurationSnapshot Snapshot = snapshotWithoutHistory();
  Snapshot.Accepted_ = History_.accepted();
  Snapshot.Refused_ = History_.refused();
  return Snapshot;
}

ConfigurationSnapshot ConfigurationCatalog::snapshotWithoutHistory() const {
  ConfigurationSnapshot Snapshot;
  Snapshot.Version_ = Version_;
  for (const auto &Entry : Profiles_)
    Snapshot.Profiles_.push_back(Entry.second.values());
  for (const auto &[Service, Name] : Assignments_)
    Snapshot.Assignments_.push_back(AssignService{Service, Name});
  return Snapshot;
}

} // namespace jaybridge
