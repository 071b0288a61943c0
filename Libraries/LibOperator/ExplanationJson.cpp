#include <LibOperator/ExplanationJson.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

const char *unavailableReasonName(UnavailableReason Reason) {
  switch (Reason) {
  case UnavailableReason::Draining:
    return "draining";
  case UnavailableReason::Departed:
    return "departed";
  case UnavailableReason::Ejected:
    return "ejected";
  case UnavailableReason::BackingOff:
    return "backing-off";
  case UnavailableReason::WarmingUp:
    return "warming-up";
  case UnavailableReason::Full:
    return "full";
  }
  return "unknown";
}

void addAdmission(Json &, const AdmittedNow &) {}
void addAdmission(Json &Fields, const QueuedFor &Queued) {
  Fields["admission"] = "queued";
  Fields["expected_wait_ms"] =
      std::chrono::ceil<std::chrono::milliseconds>(Queued.ExpectedWait_)
          .count();
}
void addAdmission(Json &Fields, const ForwardedTo &Forwarded) {
  Fields["admission"] = "forwarded";
  Fields["home"] = Forwarded.Home_.text();
}
void addAdmission(Json &Fields, const RefusedBecause &Refused) {
  Fields["admission"] = "refused";
  Fields["reason"] = refusalReasonName(Refused.Reason_);
}

Json candidateJson(const CandidateView &View) {
  return {{"instance", View.Instance_.text()},
          {"failure_domain", View.Domain_.text()},
          {"own_domain", View.IsLocal_},
          {"cost", View.Cost_ ? Json(View.Cost_->value()) : Json()},
          {"in_use", View.InUse_.value()},
          {"limit", View.Limit_.value()},
          {"candidate", !View.Reason_.has_value()},
          {"reason",
           View.Reason_ ? Json(unavailableReasonName(*View.Reason_)) : Json()}};
}

Json serviceJson(const ServiceExplanation &Service) {
  Json Candidates = Json::array();
  for (const CandidateView &View : Service.Candidates_)
    Candidates.push_back(candidateJson(View));
  Json Fields = {{"service", Service.Service_.text()},
                 {"weight", Service.Weight_.value()},
                 {"admission", "admitted"},
                 {"candidates", std::move(Candidates)}};
  std::visit([&](const auto &Decision) { addAdmission(Fields, Decision); },
             Service.Admission_);
  return Fields;
}

} // namespace

Json explanationJson(const RoutingExplanation &Explained) {
  Json Services = Json::array();
  for (const ServiceExplanation &Service : Explained.Services_)
    Services.push_back(serviceJson(Service));
  return {{"configuration_version", Explained.Version_.value()},
          {"route", Explained.Route_ ? Json(Explained.Route_->text()) : Json()},
          {"team", Explained.Team_ ? Json(Explained.Team_->text()) : Json()},
          {"tokens_left", Explained.TokensLeft_
                              ? Json(Explained.TokensLeft_->value())
                              : Json()},
          {"refused", Explained.Refusal_
                          ? Json(refusalReasonName(*Explained.Refusal_))
                          : Json()},
          {"services", std::move(Services)}};
}

} // namespace jaybridge
