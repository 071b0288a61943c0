#include <LibOperator/StatusJson.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "alive";
}

Json memberJson(const MemberStatus &Member,
                ConfigurationVersion CurrentVersion) {
  std::uint64_t VersionsBehind =
      Member.Version_ < CurrentVersion
          ? CurrentVersion.value() - Member.Version_.value()
          : 0;
  return {{"id", Member.Record_.Id_.text()},
          {"failure_domain", Member.Record_.Domain_.text()},
          {"address", Member.Record_.Address_.text()},
          {"state", memberStateName(Member.Record_.State_)},
          {"control", Member.Record_.IsControlMember_},
          {"configuration_version", Member.Version_.value()},
          {"versions_behind", VersionsBehind}};
}

Json serviceJson(const ServiceStatus &Service) {
  Json Fields = {{"service", Service.Service_.text()},
                 {"serving", Service.Serving_.value()},
                 {"draining", Service.Draining_.value()},
                 {"ejected", Service.Ejected_.value()}};
  if (Service.Policy_) {
    Fields["profile"] = Service.Policy_->Profile_.name().text();
    Fields["floor_percent"] = Service.Policy_->Profile_.floor().value();
  }
  return Fields;
}

} // namespace

Json statusJson(const OperatorStatusResponse &Status) {
  Json Members = Json::array();
  for (const MemberStatus &Member : Status.Members_)
    Members.push_back(memberJson(Member, Status.Version_));
  Json Services = Json::array();
  for (const ServiceStatus &Service : Status.Services_)
    Services.push_back(serviceJson(Service));
  return {{"member", Status.Self_.text()},
          {"configuration_version", Status.Version_.value()},
          {"members", Members},
          {"services", Services}};
}

} // namespace jaybridge
