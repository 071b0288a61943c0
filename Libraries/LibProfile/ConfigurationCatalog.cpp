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

Error full(const char *Field, std::size_t Greatest) {
  return Error{ErrorCode::Full,
               "at most " + std::to_string(Greatest) + " are permitted", Field};
}

Result<ConfigurationVersion> answerOf(const ConfigurationAuditEntry &Entry) {
  if (const auto *Refused = std::get_if<Error>(&Entry.Outcome_))
    return *Refused;
  return std::get<ConfigurationVersion>(Entry.Outcome_);
}

/// Accepted changes must lead to Version without a gap, since the winner over a
/// version is found by its position.
Status checkHistory(const ConfigurationSnapshot &From) {
  std::size_t Count = From.Accepted_.size();
  if (Count > ChangeHistory::MaxAcceptedEntries ||
      From.Refused_.size() > ChangeHistory::MaxRefusedEntries ||
      Count > From.Version_.value())
    return damaged("too many changes");
  ConfigurationVersion Expected(From.Version_.value() - Count);
  for (const ConfigurationAuditEntry &Entry : From.Accepted_) {
    if (Entry.BasedOn_ != Expected || !Entry.isAccepted() ||
        std::get<ConfigurationVersion>(Entry.Outcome_) != Expected.next())
      return damaged("accepted changes have a gap");
    Expected = Expected.next();
  }
  for (const ConfigurationAuditEntry &Entry : From.Refused_)
    if (Entry.isAccepted())
      return damaged("accepted change among the refused ones");
  return success();
}

} // namespace

Result<ConfigurationCatalog>
ConfigurationCatalog::create(const ConfigurationSnapshot &From) {
  JAYBRIDGE_TRY_STATUS(checkHistory(From));
  ConfigurationCatalog Catalog;
  for (const ProfileDraft &Draft : From.Profiles_)
    if (auto Made = Catalog.perform(CreateProfile{Draft}); !Made)
      return damaged(Made.error().Message_);
  for (const AssignService &Assign : From.Assignments_)
    if (Catalog.Assignments_.contains(Assign.Service_))
      return damaged("service assigned twice");
    else if (auto Made = Catalog.perform(Assign); !Made)
      return damaged(Made.error().Message_);
  for (const auto *Entries : {&From.Accepted_, &From.Refused_})
    for (const ConfigurationAuditEntry &Entry : *Entries) {
      if (Catalog.History_.find(Entry.RequestId_))
        return damaged("request id used twice");
      Catalog.History_.add(Entry);
    }
  Catalog.Version_ = From.Version_;
  return Catalog;
}

Result<ConfigurationVersion>
ConfigurationCatalog::apply(const ConfigurationChange &Change) {
  JAYBRIDGE_TRY_STATUS(checkText(Change));
  Fingerprint Content = contentFingerprint(Change);
  if (const auto *Known = History_.find(Change.RequestId_)) {
    if (Known->Content_ == Content)
      return answerOf(*Known);
    return Error{ErrorCode::Invalid,
                 "request-id was used by " + Known->Author_.text() +
                     " for another change",
                 "request-id"};
  }
  ConfigurationAuditEntry Entry{Change.RequestId_, Change.Author_, Change.At_,
                                Change.BasedOn_,   std::string(),  Content,
                                Version_.next()};
  auto Made = perform(Change);
  if (Made) {
    Version_ = Version_.next();
    Entry.Difference_ = Made.takeValue();
  } else {
    Entry.Outcome_ = Made.takeError();
  }
  Result<ConfigurationVersion> Answer = answerOf(Entry);
  History_.add(std::move(Entry));
  return Answer;
}

Result<std::string>
ConfigurationCatalog::perform(const ConfigurationChange &Change) {
  JAYBRIDGE_TRY_STATUS(checkVersion(Change.BasedOn_));
  return std::visit([this](const auto &Action) { return perform(Action); },
                    Change.Action_);
}

Result<std::string> ConfigurationCatalog::perform(const CreateProfile &Create) {
  JAYBRIDGE_TRY(Profile Checked, Profile::create(Create.Draft_));
  if (Profiles_.contains(Checked.name()))
    return Error{ErrorCode::Conflict,
                 "profile '" + Checked.name().text() + "' already exists",
                 "name"};
  if (Profiles_.size() >= MaxProfiles)
    return full("profile", MaxProfiles);
  Profiles_.emplace(Checked.name(), Checked);
  return describe(Create);
}

Result<std::string> ConfigurationCatalog::perform(const UpdateProfile &Update) {
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

Result<std::string> ConfigurationCatalog::perform(const AssignService &Assign) {
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
    return full("service", MaxAssignments);
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
  if (const auto *Winner = History_.findAcceptedChange(BasedOn))
    Message += "; version " + std::to_string(BasedOn.next().value()) +
               " was made by request " + Winner->RequestId_.text() + " of " +
               Winner->Author_.text();
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
  std::vector<Profile> Listed;
  Listed.reserve(Profiles_.size());
  for (const auto &Each : Profiles_)
    Listed.push_back(Each.second);
  return Listed;
}

std::optional<ConfigurationAuditEntry>
ConfigurationCatalog::findAcceptedChange(ConfigurationVersion BasedOn) const {
  const auto *Winner = History_.findAcceptedChange(BasedOn);
  return Winner ? std::optional(*Winner) : std::nullopt;
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
  for (const auto &Each : Profiles_)
    Snapshot.Profiles_.push_back(Each.second.values());
  for (const auto &[Service, Name] : Assignments_)
    Snapshot.Assignments_.push_back(AssignService{Service, Name});
  return Snapshot;
}

} // namespace jaybridge
