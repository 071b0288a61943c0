#include <Fakes/FakeFaults.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

Result<FakeFaults> FakeFaults::create(std::string_view JSON) {
  const auto Parsed = nlohmann::json::parse(JSON, nullptr, false);
  if (!Parsed.is_object())
    return Error{ErrorCode::Invalid, "not a JSON object", {}};
  FakeFaults Read;
  for (const auto &[Name, Value] : Parsed.items()) {
    const double Number = Value.is_number() ? Value.get<double>() : -1;
    const bool IsShare = Number >= 0 && Number <= 1;
    if (Name == "fail" && IsShare)
      Read.Fail_ = FaultShare(Number);
    else if (Name == "hang" && IsShare)
      Read.Hang_ = FaultShare(Number);
    else if (Name == "cut" && IsShare)
      Read.Cut_ = FaultShare(Number);
    else if (Name == "lose" && IsShare)
      Read.Lose_ = FaultShare(Number);
    else if (Name == "close" && IsShare)
      Read.Close_ = FaultShare(Number);
    else if (Name == "slow" && Number >= 1)
      Read.Slow_ = SlowFactor(Number);
    else if (Name == "crash_body" && Value.is_string())
      Read.CrashBody_ = Value.get<std::string>();
    else if (Name == "fail_probes" && Value.is_boolean())
      Read.FailProbes_ = Value.get<bool>();
    else
      return Error{ErrorCode::Invalid, "unknown fault or value: " + Name, Name};
  }
  return Read;
}

} // namespace jaybridge
