#include <LibOperator/ChangeJson.h>

#include <LibOperator/ProfileJson.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

Error invalidFieldError(const char *Field, const char *Type) {
  return Error{ErrorCode::Invalid, std::string(Field) + " must be " + Type,
               Field};
}

Result<std::string> readString(const Json &Fields, const char *Field) {
  auto Position = Fields.find(Field);
  if (Position == Fields.end() || !Position->is_string())
    return invalidFieldError(Field, "a string");
  return Position->get<std::string>();
}

Result<ProfileDraft> readProfile(const Json &Fields) {
  auto Position = Fields.find("profile");
  if (Position == Fields.end())
    return invalidFieldError("profile",
                             "a JSON object with the fields of a profile");
  return parseProfileDraft(*Position, ProfileDraft{});
}

Result<ConfigurationAction> readAction(const Json &Fields) {
  JAYBRIDGE_TRY(std::string Action, readString(Fields, "action"));
  if (Action == "assign-service") {
    JAYBRIDGE_TRY(std::string Service, readString(Fields, "service"));
    JAYBRIDGE_TRY(std::string Name, readString(Fields, "profile_name"));
    return ConfigurationAction(AssignService{ServiceName(std::move(Service)),
                                             ProfileName(std::move(Name))});
  }
  if (Action == "create-profile") {
    JAYBRIDGE_TRY(ProfileDraft Draft, readProfile(Fields));
    return ConfigurationAction(CreateProfile{std::move(Draft)});
  }
  if (Action == "update-profile") {
    JAYBRIDGE_TRY(ProfileDraft Draft, readProfile(Fields));
    return ConfigurationAction(UpdateProfile{std::move(Draft)});
  }
  return invalidFieldError("action",
                           "create-profile, update-profile or assign-service");
}

} // namespace

Result<ConfigurationChange> parseConfigurationChange(const Json &Fields,
                                                     WallTime Now) {
  if (!Fields.is_object())
    return Error{ErrorCode::Invalid, "a change must be a JSON object", {}};
  ConfigurationChange Change;
  JAYBRIDGE_TRY(std::string Id, readString(Fields, "request_id"));
  Change.RequestId_ = ChangeRequestId(std::move(Id));
  JAYBRIDGE_TRY(std::string Author, readString(Fields, "author"));
  Change.Author_ = OperatorName(std::move(Author));
  auto BasedOn = Fields.find("based_on");
  if (BasedOn == Fields.end() || !BasedOn->is_number_unsigned())
    return invalidFieldError(
        "based_on",
        "the number of the configuration version that the change is based on");
  Change.BasedOn_ = ConfigurationVersion(BasedOn->get<std::uint64_t>());
  Change.At_ = Now;
  JAYBRIDGE_TRY(Change.Action_, readAction(Fields));
  return Change;
}

Json profilesJson(const ConfigurationSnapshot &Catalog) {
  Json Profiles = Json::array();
  for (const ProfileDraft &Draft : Catalog.Profiles_)
    Profiles.push_back(toJson(Draft));
  return {{"version", Catalog.Version_.value()}, {"profiles", Profiles}};
}

Json servicesJson(const ConfigurationSnapshot &Catalog) {
  Json Services = Json::array();
  for (const AssignService &Assignment : Catalog.Assignments_)
    Services.push_back({{"service", Assignment.Service_.text()},
                        {"profile", Assignment.Profile_.text()}});
  return {{"version", Catalog.Version_.value()}, {"services", Services}};
}

} // namespace jaybridge
