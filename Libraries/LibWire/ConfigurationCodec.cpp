#include <LibWire/ConfigurationCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/ChecksummedMessage.h>
#include <LibWire/Generated/Configuration.capnp.h>

namespace jaybridge {

namespace {

using wire::damagedMessage;
using wire::textOf;

WallTime wallTime(std::int64_t Milliseconds) {
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

void write(wire::ProfileDraft::Builder Written, const ProfileDraft &Given) {
  Written.setName(Given.Name_.text());
  Written.setIsRepeatable(Given.Repeat_ == Repeatability::Repeatable);
  Written.setPatienceUs(Given.Patience_.count());
  Written.setFloorPercent(Given.Floor_.value());
  Written.setWeight(Given.Weight_.value());
  Written.setRetryBudgetPercent(Given.RetryBudget_.value());
  Written.setIsHedgingAllowed(Given.HedgingAllowed_);
  Written.setFalseEjection(Given.FalseEjection_.value());
  Written.setMissedDetection(Given.MissedDetection_.value());
}

ProfileDraft read(wire::ProfileDraft::Reader Written) {
  ProfileDraft Read;
  Read.Name_ = ProfileName(textOf(Written.getName()));
  Read.Repeat_ = Written.getIsRepeatable() ? Repeatability::Repeatable
                                           : Repeatability::AtMostOnce;
  Read.Patience_ = Duration(Written.getPatienceUs());
  Read.Floor_ = Percentage(Written.getFloorPercent());
  Read.Weight_ = ClassWeight(Written.getWeight());
  Read.RetryBudget_ = Percentage(Written.getRetryBudgetPercent());
  Read.HedgingAllowed_ = Written.getIsHedgingAllowed();
  Read.FalseEjection_ = ErrorRate(Written.getFalseEjection());
  Read.MissedDetection_ = ErrorRate(Written.getMissedDetection());
  return Read;
}

void write(wire::AssignService::Builder Written, const AssignService &Given) {
  Written.setService(Given.Service_.text());
  Written.setProfile(Given.Profile_.text());
}

AssignService read(wire::AssignService::Reader Written) {
  return AssignService{ServiceName(textOf(Written.getService())),
                       ProfileName(textOf(Written.getProfile()))};
}

Result<ConfigurationChange> read(wire::ConfigurationChange::Reader Written) {
  ConfigurationChange Read{ChangeRequestId(textOf(Written.getRequestId())),
                           ConfigurationVersion(Written.getBasedOn()),
                           OperatorName(textOf(Written.getAuthor())),
                           wallTime(Written.getAtMs()),
                           {}};
  switch (Written.which()) {
  case wire::ConfigurationChange::CREATE_PROFILE:
    Read.Action_ = CreateProfile{read(Written.getCreateProfile())};
    return Read;
  case wire::ConfigurationChange::UPDATE_PROFILE:
    Read.Action_ = UpdateProfile{read(Written.getUpdateProfile())};
    return Read;
  case wire::ConfigurationChange::ASSIGN_SERVICE:
    Read.Action_ = read(Written.getAssignService());
    return Read;
  }
  return damagedMessage("unknown kind of change");
}

void write(wire::ConfigurationAuditEntry::Builder Written,
           const ConfigurationAuditEntry &Given) {
  Written.setRequestId(Given.RequestId_.text());
  Written.setAuthor(Given.Author_.text());
  Written.setAtMs(Given.At_.time_since_epoch().count());
  Written.setBasedOn(Given.BasedOn_.value());
  Written.setDifference(Given.Difference_);
  Written.setContent(Given.Content_.value());
  std::visit(Overloaded{[&](ConfigurationVersion Version) {
                          Written.setAccepted(Version.value());
                        },
                        [&](const Error &Reason) {
                          auto Refused = Written.initRefused();
                          Refused.setCode(
                              static_cast<std::uint16_t>(Reason.Code_));
                          Refused.setMessage(Reason.Message_);
                          Refused.setField(Reason.Field_);
                        }},
             Given.Outcome_);
}

Result<ConfigurationAuditEntry>
read(wire::ConfigurationAuditEntry::Reader Written) {
  ConfigurationAuditEntry Read{ChangeRequestId(textOf(Written.getRequestId())),
                               OperatorName(textOf(Written.getAuthor())),
                               wallTime(Written.getAtMs()),
                               ConfigurationVersion(Written.getBasedOn()),
                               textOf(Written.getDifference()),
                               Fingerprint(Written.getContent()),
                               {}};
  switch (Written.which()) {
  case wire::ConfigurationAuditEntry::ACCEPTED:
    Read.Outcome_ = ConfigurationVersion(Written.getAccepted());
    return Read;
  case wire::ConfigurationAuditEntry::REFUSED: {
    auto Refused = Written.getRefused();
    if (Refused.getCode() > static_cast<std::uint16_t>(ErrorCode::Internal))
      return damagedMessage("unknown error code");
    Read.Outcome_ =
        Error{static_cast<ErrorCode>(Refused.getCode()),
              textOf(Refused.getMessage()), textOf(Refused.getField())};
    return Read;
  }
  }
  return damagedMessage("unknown outcome of a change");
}

template <typename Builder, typename Value>
void writeAll(Builder Written, const std::vector<Value> &Given) {
  for (unsigned I = 0; I < Written.size(); ++I)
    write(Written[I], Given[I]);
}

template <typename Value> unsigned countOf(const std::vector<Value> &Values) {
  return static_cast<unsigned>(Values.size());
}

Result<std::vector<ConfigurationAuditEntry>>
readAll(capnp::List<wire::ConfigurationAuditEntry>::Reader Written) {
  std::vector<ConfigurationAuditEntry> Read;
  for (auto Each : Written) {
    JAYBRIDGE_TRY(ConfigurationAuditEntry Entry, read(Each));
    Read.push_back(std::move(Entry));
  }
  return Read;
}

Result<ConfigurationSnapshot>
read(wire::ConfigurationSnapshot::Reader Written) {
  ConfigurationSnapshot Read;
  Read.Version_ = ConfigurationVersion(Written.getVersion());
  for (auto Each : Written.getProfiles())
    Read.Profiles_.push_back(read(Each));
  for (auto Each : Written.getAssignments())
    Read.Assignments_.push_back(read(Each));
  JAYBRIDGE_TRY(Read.Accepted_, readAll(Written.getAccepted()));
  JAYBRIDGE_TRY(Read.Refused_, readAll(Written.getRefused()));
  return Read;
}

} // namespace

std::string encodeConfigurationChange(const ConfigurationChange &Change) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ConfigurationChange>();
  Root.setRequestId(Change.RequestId_.text());
  Root.setBasedOn(Change.BasedOn_.value());
  Root.setAuthor(Change.Author_.text());
  Root.setAtMs(Change.At_.time_since_epoch().count());
  std::visit(Overloaded{[&](const CreateProfile &Create) {
                          write(Root.initCreateProfile(), Create.Draft_);
                        },
                        [&](const UpdateProfile &Update) {
                          write(Root.initUpdateProfile(), Update.Draft_);
                        },
                        [&](const AssignService &Assign) {
                          write(Root.initAssignService(), Assign);
                        }},
             Change.Action_);
  return wire::serializeWithChecksum(Builder);
}

Result<ConfigurationChange>
decodeConfigurationChange(std::string_view Encoded) {
  return wire::readWithChecksum<wire::ConfigurationChange>(
      Encoded,
      [](wire::ConfigurationChange::Reader Root) { return read(Root); });
}

std::string encodeConfigurationSnapshot(const ConfigurationSnapshot &Snapshot) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ConfigurationSnapshot>();
  Root.setVersion(Snapshot.Version_.value());
  writeAll(Root.initProfiles(countOf(Snapshot.Profiles_)), Snapshot.Profiles_);
  writeAll(Root.initAssignments(countOf(Snapshot.Assignments_)),
           Snapshot.Assignments_);
  writeAll(Root.initAccepted(countOf(Snapshot.Accepted_)), Snapshot.Accepted_);
  writeAll(Root.initRefused(countOf(Snapshot.Refused_)), Snapshot.Refused_);
  return wire::serializeWithChecksum(Builder);
}

Result<ConfigurationSnapshot>
decodeConfigurationSnapshot(std::string_view Encoded) {
  return wire::readWithChecksum<wire::ConfigurationSnapshot>(
      Encoded,
      [](wire::ConfigurationSnapshot::Reader Root) { return read(Root); });
}

} // namespace jaybridge
