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

void write(wire::ProfileDraft::Builder Builder, const ProfileDraft &Value) {
  Builder.setName(Value.Name_.text());
  Builder.setIsRepeatable(Value.Repeatability_ == Repeatability::Repeatable);
  Builder.setPatienceUs(Value.Patience_.count());
  Builder.setFloorPercent(Value.Floor_.value());
  Builder.setWeight(Value.Weight_.value());
  Builder.setRetryBudgetPercent(Value.RetryBudget_.value());
  Builder.setIsHedgingAllowed(Value.IsHedgingAllowed_);
  Builder.setFalseEjection(Value.FalseEjectionRate_.value());
  Builder.setMissedDetection(Value.MissedDetectionRate_.value());
}

ProfileDraft read(wire::ProfileDraft::Reader Reader) {
  ProfileDraft Value;
  Value.Name_ = ProfileName(textOf(Reader.getName()));
  Value.Repeatability_ = Reader.getIsRepeatable() ? Repeatability::Repeatable
                                                  : Repeatability::AtMostOnce;
  Value.Patience_ = Duration(Reader.getPatienceUs());
  Value.Floor_ = Percentage(Reader.getFloorPercent());
  Value.Weight_ = ClassWeight(Reader.getWeight());
  Value.RetryBudget_ = Percentage(Reader.getRetryBudgetPercent());
  Value.IsHedgingAllowed_ = Reader.getIsHedgingAllowed();
  Value.FalseEjectionRate_ = ErrorRate(Reader.getFalseEjection());
  Value.MissedDetectionRate_ = ErrorRate(Reader.getMissedDetection());
  return Value;
}

void write(wire::AssignService::Builder Builder, const AssignService &Value) {
  Builder.setService(Value.Service_.text());
  Builder.setProfile(Value.Profile_.text());
}

AssignService read(wire::AssignService::Reader Reader) {
  return AssignService{ServiceName(textOf(Reader.getService())),
                       ProfileName(textOf(Reader.getProfile()))};
}

Result<ConfigurationChange> read(wire::ConfigurationChange::Reader Reader) {
  ConfigurationChange Value{ChangeRequestId(textOf(Reader.getRequestId())),
                            ConfigurationVersion(Reader.getBasedOn()),
                            OperatorName(textOf(Reader.getAuthor())),
                            wallTime(Reader.getAtMs()),
                            {}};
  switch (Reader.which()) {
  case wire::ConfigurationChange::CREATE_PROFILE:
    Value.Action_ = CreateProfile{read(Reader.getCreateProfile())};
    return Value;
  case wire::ConfigurationChange::UPDATE_PROFILE:
    Value.Action_ = UpdateProfile{read(Reader.getUpdateProfile())};
    return Value;
  case wire::ConfigurationChange::ASSIGN_SERVICE:
    Value.Action_ = read(Reader.getAssignService());
    return Value;
  }
  return damagedMessage("unknown kind of configuration change");
}

void write(wire::ConfigurationAuditEntry::Builder Builder,
           const ConfigurationAuditEntry &Value) {
  Builder.setRequestId(Value.RequestId_.text());
  Builder.setAuthor(Value.Author_.text());
  Builder.setAtMs(Value.At_.time_since_epoch().count());
  Builder.setBasedOn(Value.BasedOn_.value());
  Builder.setDifference(Value.Difference_);
  Builder.setContent(Value.Content_.value());
  std::visit(Overloaded{[&](ConfigurationVersion Version) {
                          Builder.setAccepted(Version.value());
                        },
                        [&](const Error &Reason) {
                          auto Refused = Builder.initRefused();
                          Refused.setCode(
                              static_cast<std::uint16_t>(Reason.Code_));
                          Refused.setMessage(Reason.Message_);
                          Refused.setField(Reason.Field_);
                        }},
             Value.Outcome_);
}

Result<ConfigurationAuditEntry>
read(wire::ConfigurationAuditEntry::Reader Reader) {
  ConfigurationAuditEntry Value{ChangeRequestId(textOf(Reader.getRequestId())),
                                OperatorName(textOf(Reader.getAuthor())),
                                wallTime(Reader.getAtMs()),
                                ConfigurationVersion(Reader.getBasedOn()),
                                textOf(Reader.getDifference()),
                                Fingerprint(Reader.getContent()),
                                {}};
  switch (Reader.which()) {
  case wire::ConfigurationAuditEntry::ACCEPTED:
    Value.Outcome_ = ConfigurationVersion(Reader.getAccepted());
    return Value;
  case wire::ConfigurationAuditEntry::REFUSED: {
    auto Refused = Reader.getRefused();
    if (Refused.getCode() > static_cast<std::uint16_t>(ErrorCode::Internal))
      return damagedMessage("unknown error code");
    Value.Outcome_ =
        Error{static_cast<ErrorCode>(Refused.getCode()),
              textOf(Refused.getMessage()), textOf(Refused.getField())};
    return Value;
  }
  }
  return damagedMessage("unknown outcome of a configuration change");
}

template <typename ListBuilder, typename Item>
void writeAll(ListBuilder Builder, const std::vector<Item> &Items) {
  for (unsigned I = 0; I < Builder.size(); ++I)
    write(Builder[I], Items[I]);
}

template <typename Value> unsigned countOf(const std::vector<Value> &Values) {
  return static_cast<unsigned>(Values.size());
}

Result<std::vector<ConfigurationAuditEntry>>
readAll(capnp::List<wire::ConfigurationAuditEntry>::Reader Reader) {
  std::vector<ConfigurationAuditEntry> Entries;
  for (auto EntryReader : Reader) {
    JAYBRIDGE_TRY(ConfigurationAuditEntry Entry, read(EntryReader));
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

Result<ConfigurationSnapshot> read(wire::ConfigurationSnapshot::Reader Reader) {
  ConfigurationSnapshot Value;
  Value.Version_ = ConfigurationVersion(Reader.getVersion());
  for (auto Profile : Reader.getProfiles())
    Value.Profiles_.push_back(read(Profile));
  for (auto Assignment : Reader.getAssignments())
    Value.Assignments_.push_back(read(Assignment));
  JAYBRIDGE_TRY(Value.Accepted_, readAll(Reader.getAccepted()));
  JAYBRIDGE_TRY(Value.Refused_, readAll(Reader.getRefused()));
  return Value;
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
