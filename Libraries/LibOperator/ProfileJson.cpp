#include <LibOperator/ProfileJson.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <limits>
#include <map>

namespace jaybridge {

namespace {

using Json = nlohmann::json;
using FieldReader = std::function<bool(const Json &, ProfileDraft &)>;

bool readUnsigned(const Json &Value, std::uint32_t &Number) {
  if (!Value.is_number_integer() || Value < 0 ||
      Value > std::numeric_limits<std::uint32_t>::max())
    return false;
  Number = Value.get<std::uint32_t>();
  return true;
}

template <typename Unit> FieldReader unsignedField(Unit ProfileDraft::*Member) {
  return [Member](const Json &Value, ProfileDraft &Draft) {
    std::uint32_t Number = 0;
    if (!readUnsigned(Value, Number))
      return false;
    Draft.*Member = Unit(Number);
    return true;
  };
}

FieldReader rateField(ErrorRate ProfileDraft::*Member) {
  return [Member](const Json &Value, ProfileDraft &Draft) {
    if (!Value.is_number())
      return false;
    Draft.*Member = ErrorRate(Value.get<double>());
    return true;
  };
}

bool readName(const Json &Value, ProfileDraft &Draft) {
  if (!Value.is_string())
    return false;
  Draft.Name_ = ProfileName(Value.get<std::string>());
  return true;
}

bool readRepeatable(const Json &Value, ProfileDraft &Draft) {
  if (!Value.is_boolean())
    return false;
  Draft.Repeatability_ =
      Value.get<bool>() ? Repeatability::Repeatable : Repeatability::AtMostOnce;
  return true;
}

bool readPatience(const Json &Value, ProfileDraft &Draft) {
  std::uint32_t Milliseconds = 0;
  if (!readUnsigned(Value, Milliseconds))
    return false;
  Draft.Patience_ = std::chrono::milliseconds(Milliseconds);
  return true;
}

bool readHedging(const Json &Value, ProfileDraft &Draft) {
  if (!Value.is_boolean())
    return false;
  Draft.IsHedgingAllowed_ = Value.get<bool>();
  return true;
}

const std::map<std::string, FieldReader> &fieldReaders() {
  static const std::map<std::string, FieldReader> Readers = {
      {"name", readName},
      {"repeatable", readRepeatable},
      {"patience_ms", readPatience},
      {"floor_percent", unsignedField(&ProfileDraft::Floor_)},
      {"class_weight", unsignedField(&ProfileDraft::Weight_)},
      {"retry_budget_percent", unsignedField(&ProfileDraft::RetryBudget_)},
      {"hedging", readHedging},
      {"false_ejection_rate", rateField(&ProfileDraft::FalseEjectionRate_)},
      {"missed_detection_rate", rateField(&ProfileDraft::MissedDetectionRate_)},
  };
  return Readers;
}

} // namespace

Json toJson(const ProfileDraft &Draft) {
  using Milliseconds = std::chrono::milliseconds;
  return Json{
      {"name", Draft.Name_.text()},
      {"repeatable", Draft.Repeatability_ == Repeatability::Repeatable},
      {"patience_ms",
       std::chrono::duration_cast<Milliseconds>(Draft.Patience_).count()},
      {"floor_percent", Draft.Floor_.value()},
      {"class_weight", Draft.Weight_.value()},
      {"retry_budget_percent", Draft.RetryBudget_.value()},
      {"hedging", Draft.IsHedgingAllowed_},
      {"false_ejection_rate", Draft.FalseEjectionRate_.value()},
      {"missed_detection_rate", Draft.MissedDetectionRate_.value()},
  };
}

Result<ProfileDraft> parseProfileDraft(const Json &Fields, ProfileDraft Draft) {
  if (!Fields.is_object())
    return Error{ErrorCode::Invalid, "a profile must be a JSON object", {}};
  for (const auto &[Name, Value] : Fields.items()) {
    auto Reader = fieldReaders().find(Name);
    if (Reader == fieldReaders().end())
      return Error{ErrorCode::Invalid, "unknown field '" + Name + "'", Name};
    if (!Reader->second(Value, Draft))
      return Error{ErrorCode::Invalid,
                   Name + " has a value of the wrong type or out of range",
                   Name};
  }
  return Draft;
}

} // namespace jaybridge
