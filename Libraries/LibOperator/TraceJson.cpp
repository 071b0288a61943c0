#include <LibOperator/TraceJson.h>

#include <LibRouting/StepName.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

Json stepJson(const TimedStep &Recorded, TimePoint StartTime) {
  const RecordStep &Step = Recorded.Step_;
  Json Fields = {{"at_us", (Recorded.At_ - StartTime).count()},
                 {"step", stepName(Step.Kind_)},
                 {"service", Step.Service_.text()},
                 {"version", Step.Version_.value()},
                 {"detail", Step.Detail_}};
  if (!Step.Instance_.isEmpty())
    Fields["instance"] = Step.Instance_.text();
  if (!Step.Domain_.isEmpty())
    Fields["failure_domain"] = Step.Domain_.text();
  return Fields;
}

} // namespace

Json traceJson(const std::vector<TimedStep> &Steps) {
  Json Rows = Json::array();
  for (const TimedStep &Recorded : Steps)
    Rows.push_back(stepJson(Recorded, Steps.front().At_));
  return {{"steps", Rows}};
}

Json auditJson(const std::vector<AuditEntry> &Entries) {
  Json Rows = Json::array();
  for (const AuditEntry &Entry : Entries)
    Rows.push_back({{"at_ms", Entry.At_.time_since_epoch().count()},
                    {"kind", auditKindName(Entry.Kind_)},
                    {"actor", Entry.Actor_},
                    {"service", Entry.Service_.text()},
                    {"based_on", Entry.BasedOn_.value()},
                    {"version", Entry.Version_.value()},
                    {"request_id", Entry.RequestId_.text()},
                    {"outcome", Entry.Outcome_},
                    {"detail", Entry.Detail_}});
  return {{"entries", Rows}};
}

} // namespace jaybridge
