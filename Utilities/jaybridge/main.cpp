#include <Commands.h>

#include <gflags/gflags.h>

#include <cstdio>
#include <random>
#include <sstream>

DEFINE_string(daemon, "", "operator addresses A.B.C.D:PORT, separated by ','");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_string(author, "operator", "name of the operator in the audit trail");
DEFINE_string(request_id, "", "id of the change; a resend must repeat it");
DEFINE_int64(based_on, -1, "version that the change was made from");
DEFINE_string(profile, "", "profile that the service runs under");
DEFINE_string(since, "", "audit entries from this time on, ms since 1970");
DEFINE_string(service, "", "audit entries of this service");
DEFINE_string(kind, "", "audit entries of this kind");
DEFINE_bool(repeatable, false, "requests may run more than once");
DEFINE_int64(patience_ms, 0, "how long callers wait, 1 to 300000 ms");
DEFINE_int64(floor_percent, 0, "capacity that ejection must leave, 0 to 100");
DEFINE_int64(class_weight, 0, "weight of the class, 1 to 1000");
DEFINE_int64(retry_budget_percent, 0, "retries per first attempt, 0 to 100");
DEFINE_bool(hedging, false, "stragglers may be hedged");
DEFINE_double(false_ejection_rate, 0, "0.000000001 to 0.2");
DEFINE_double(missed_detection_rate, 0, "0.000000001 to 0.2");

namespace jaybridge {
namespace {

std::string newRequestId() {
  std::random_device Device;
  std::ostringstream Text;
  Text << std::hex << Device() << Device() << Device();
  return Text.str();
}

bool isGiven(const char *Flag) {
  gflags::CommandLineFlagInfo Info;
  return gflags::GetCommandLineFlagInfo(Flag, &Info) && !Info.is_default;
}

nlohmann::json givenProfileFields() {
  nlohmann::json Fields = nlohmann::json::object();
  auto Add = [&](const char *Flag, const auto &Value) {
    if (isGiven(Flag))
      Fields[Flag] = Value;
  };
  Add("repeatable", FLAGS_repeatable);
  Add("patience_ms", FLAGS_patience_ms);
  Add("floor_percent", FLAGS_floor_percent);
  Add("class_weight", FLAGS_class_weight);
  Add("retry_budget_percent", FLAGS_retry_budget_percent);
  Add("hedging", FLAGS_hedging);
  Add("false_ejection_rate", FLAGS_false_ejection_rate);
  Add("missed_detection_rate", FLAGS_missed_detection_rate);
  return Fields;
}

/// Takes each flag's value from JAYBRIDGE_FLAG, before the command line.
void readEnvironment() {
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    std::string Name = "JAYBRIDGE_";
    for (char Letter : Flag.name)
      Name += static_cast<char>(std::toupper(Letter));
    if (const char *Value = std::getenv(Name.c_str()))
      gflags::SetCommandLineOption(Flag.name.c_str(), Value);
  }
}

Result<Options> readOptions(int Count, char **Words) {
  Options Given;
  std::istringstream Daemons(FLAGS_daemon);
  for (std::string Text; std::getline(Daemons, Text, ',');) {
    JAYBRIDGE_TRY(Endpoint Daemon, Endpoint::create(Text));
    Given.Daemons_.push_back(std::move(Daemon));
  }
  Given.TokenFile_ = FLAGS_token_file;
  Given.PrintsJson_ = FLAGS_json;
  Given.Author_ = FLAGS_author;
  Given.RequestId_ =
      FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id;
  if (FLAGS_based_on >= 0)
    Given.BasedOn_ =
        ConfigurationVersion(static_cast<std::uint64_t>(FLAGS_based_on));
  Given.ProfileFields_ = givenProfileFields();
  Given.ProfileName_ = FLAGS_profile;
  Given.Since_ = FLAGS_since;
  Given.Service_ = FLAGS_service;
  Given.Kind_ = FLAGS_kind;
  Given.Words_.assign(Words + 1, Words + Count);
  return Given;
}

int run(int Count, char **Words) {
  if (Count == 2 && std::string(Words[1]) == "key") {
    std::puts(newIdempotencyKey().c_str());
    return static_cast<int>(ExitCode::Success);
  }
  auto Given = readOptions(Count, Words);
  if (!Given) {
    std::fprintf(stderr, "jaybridge: --daemon: %s\n",
                 Given.error().Message_.c_str());
    return static_cast<int>(ExitCode::Usage);
  }
  auto Client =
      OperatorClient::create(Given.value().Daemons_, Given.value().TokenFile_);
  if (!Client) {
    std::fprintf(stderr, "jaybridge: %s\n", Client.error().Message_.c_str());
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(runCommand(Given.value(), Client.value()));
}

} // namespace
} // namespace jaybridge

int main(int Count, char **Words) {
  gflags::SetVersionString(JAYBRIDGE_VERSION);
  gflags::SetUsageMessage(jaybridge::commandSummary());
  jaybridge::readEnvironment();
  gflags::ParseCommandLineFlags(&Count, &Words, true);
  return jaybridge::run(Count, Words);
}
