#include <Fakes/FakeFaults.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

Result<FakeFaults> FakeFaults::create(std::string_view JSON) {
  const auto Parsed = nlohmann::json::parse(JSON, nullptr, false);
  if (!Parsed.is_object())
    return Error{ErrorCode::Invalid, "the faults are not a JSON object", {}};
  FakeFaults Faults;
  for (const auto &[Name, Value] : Parsed.items()) {
    const double Number = Value.is_number() ? Value.get<double>() : -1;
    const bool IsShare = Number >= 0 && Number <= 1;
    if (Name == "fail" && IsShare)
      Faults.FailShare_ = FaultShare(Number);
    else if (Name == "hang" && IsShare)
      Faults.HangShare_ = FaultShare(Number);
    else if (Name == "cut" && IsShare)
      Faults.TruncateShare_ = FaultShare(Number);
    else if (Name == "lose" && IsShare)
      Faults.DropShare_ = FaultShare(Number);
    else if (Name == "close" && IsShare)
      Faults.CloseShare_ = FaultShare(Number);
    else if (Name == "slow" && Number >= 1)
      Faults.SlowFactor_ = SlowFactor(Number);
    else if (Name == "crash_body" && Value.is_string())
      Faults.CrashMarker_ = Value.get<std::string>();
    else if (Name == "fail_probes" && Value.is_boolean())
      Faults.FailProbes_ = Value.get<bool>();
    else
      return Error{ErrorCode::Invalid,
                   "unknown fault or invalid value: " + Name, Name};
  }
  return Faults;
}

} // namespace jaybridge
