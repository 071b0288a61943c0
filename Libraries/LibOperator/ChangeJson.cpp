#include <LibOperator/ChangeJson.h>

#include <LibOperator/ProfileJson.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

Error missing(const char *Field, const char *Type) {
  return Error{ErrorCode::Invalid, std::string(Field) + " must be " + Type,
               Field};
}

Result<std::string> readText(const Json &Fields, const char *Field) {
  auto Found = Fields.find(Field);
  if (Found == Fields.end() || !Found->is_string())
    return missing(Field, "a text");
  return Found->get<std::string>();
}

Result<ProfileDraft> readProfile(const Json &Fields) {
  auto Found = Fields.find("profile");
  if (Found == Fields.end())
    return missing("profile", "an object with the profile's fields");
  return parseProfileDraft(*Found, ProfileDraft{});
}

Result<ConfigurationAction> readAction(const Json &Fields) {
  JAYBRIDGE_TRY(std::string Action, readText(Fields, "action"));
  if (Action == "assign-service") {
    JAYBRIDGE_TRY(std::string Service, readText(Fields, "service"));
    JAYBRIDGE_TRY(std::string Name, readText(Fields, "profile_name"));
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
  return missing("action", "create-profile, update-profile or assign-service");
}

} // namespace

Result<ConfigurationChange> parseConfigurationChange(const Json &Fields,
                                                     WallTime Now) {
  if (!Fields.is_object())
    return Error{ErrorCode::Invalid, "a change must be a JSON object", {}};
  ConfigurationChange Change;
  JAYBRIDGE_TRY(std::string Id, readText(Fields, "request_id"));
  Change.RequestId_ = ChangeRequestId(std::move(Id));
  JAYBRIDGE_TRY(std::string Author, readText(Fields, "author"));
  Change.Author_ = OperatorName(std::move(Author));
  auto BasedOn = Fields.find("based_on");
  if (BasedOn == Fields.end() || !BasedOn->is_number_unsigned())
    return missing("based_on", "the version that the change was made from");
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
  for (const AssignService &Assigned : Catalog.Assignments_)
    Services.push_back({{"service", Assigned.Service_.text()},
                        {"profile", Assigned.Profile_.text()}});
  return {{"version", Catalog.Version_.value()}, {"services", Services}};
}

} // namespace jaybridge
