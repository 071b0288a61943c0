#include <Commands.h>
#include <Explain.h>

#include <gflags/gflags.h>

#include <cstdio>
#include <random>
#include <sstream>

DEFINE_string(daemon, "",
              "operator addresses of daemons, A.B.C.D:PORT separated by ','");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_bool(json, false, "print the response as JSON");
DEFINE_string(author, "operator", "name of the operator in the audit trail");
DEFINE_string(request_id, "",
              "id of the change; send the same id when repeating it");
DEFINE_int64(based_on, -1, "configuration version that the change is based on");
DEFINE_string(profile, "", "profile to assign to the service");
DEFINE_string(since, "", "show audit entries from this time on, ms since 1970");
DEFINE_string(service, "", "show audit entries of this service");
DEFINE_string(kind, "", "show audit entries of this kind");
DEFINE_string(gateway, "", "status address of a gateway, A.B.C.D:PORT");
DEFINE_string(host, "", "host of the request to explain");
DEFINE_string(path, "", "path of the request to explain, with its query");
DEFINE_string(method, "GET", "method of the request to explain");
DEFINE_string(team, "", "team of the request to explain");
DEFINE_bool(repeatable, false, "requests may be executed more than once");
DEFINE_int64(patience_ms, 0,
             "deadline of requests that state none, 1 to 300000 ms");
DEFINE_int64(
    floor_percent, 0,
    "serving instances that ejection must leave in use, 0 to 100 percent");
DEFINE_int64(class_weight, 0, "weight of the profile's class, 1 to 1000");
DEFINE_int64(retry_budget_percent, 0,
             "retries and hedges in percent of first attempts, 0 to 100");
DEFINE_bool(hedging, false, "slow requests may be hedged");
DEFINE_double(
    false_ejection_rate, 0,
    "expected false ejections per healthy instance-hour, 0.000000001 to 0.2");
DEFINE_double(
    missed_detection_rate, 0,
    "chance that a returning bad instance is cleared, 0.000000001 to 0.2");

namespace jaybridge {
namespace {

std::string newRequestId() {
  std::random_device Device;
  std::ostringstream Text;
  Text << std::hex << Device() << Device() << Device();
  return Text.str();
}

bool isFlagSet(const char *Flag) {
  gflags::CommandLineFlagInfo Info;
  return gflags::GetCommandLineFlagInfo(Flag, &Info) && !Info.is_default;
}

nlohmann::json readProfileFields() {
  nlohmann::json Fields = nlohmann::json::object();
  auto AddIfSet = [&](const char *Flag, const auto &Value) {
    if (isFlagSet(Flag))
      Fields[Flag] = Value;
  };
  AddIfSet("repeatable", FLAGS_repeatable);
  AddIfSet("patience_ms", FLAGS_patience_ms);
  AddIfSet("floor_percent", FLAGS_floor_percent);
  AddIfSet("class_weight", FLAGS_class_weight);
  AddIfSet("retry_budget_percent", FLAGS_retry_budget_percent);
  AddIfSet("hedging", FLAGS_hedging);
  AddIfSet("false_ejection_rate", FLAGS_false_ejection_rate);
  AddIfSet("missed_detection_rate", FLAGS_missed_detection_rate);
  return Fields;
}

/// Sets each flag from its JAYBRIDGE_FLAG variable, before the command line is
/// parsed and overrides it.
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

Result<Options> readOptions(int Count, char **Arguments) {
  Options Opts;
  std::istringstream Daemons(FLAGS_daemon);
  for (std::string Text; std::getline(Daemons, Text, ',');) {
    JAYBRIDGE_TRY(Endpoint Daemon, Endpoint::create(Text));
    Opts.Daemons_.push_back(std::move(Daemon));
  }
  Opts.TokenFile_ = FLAGS_token_file;
  Opts.PrintsJson_ = FLAGS_json;
  Opts.Author_ = FLAGS_author;
  Opts.RequestId_ =
      FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id;
  if (FLAGS_based_on >= 0)
    Opts.BasedOn_ =
        ConfigurationVersion(static_cast<std::uint64_t>(FLAGS_based_on));
  Opts.ProfileFields_ = readProfileFields();
  Opts.ProfileName_ = FLAGS_profile;
  Opts.Since_ = FLAGS_since;
  Opts.Service_ = FLAGS_service;
  Opts.Kind_ = FLAGS_kind;
  if (!FLAGS_gateway.empty()) {
    JAYBRIDGE_TRY(Opts.Explain_.Gateway_, Endpoint::create(FLAGS_gateway));
  }
  Opts.Explain_.Host_ = FLAGS_host;
  Opts.Explain_.Path_ = FLAGS_path;
  Opts.Explain_.Method_ = FLAGS_method;
  Opts.Explain_.Team_ = FLAGS_team;
  Opts.Arguments_.assign(Arguments + 1, Arguments + Count);
  return Opts;
}

int run(int Count, char **Arguments) {
  if (Count == 2 && std::string(Arguments[1]) == "key") {
    std::puts(newIdempotencyKey().c_str());
    return static_cast<int>(ExitCode::Success);
  }
  auto Opts = readOptions(Count, Arguments);
  if (!Opts) {
    std::fprintf(stderr, "jaybridge: --daemon or --gateway: %s\n",
                 Opts.error().Message_.c_str());
    return static_cast<int>(ExitCode::Usage);
  }
  if (Opts.value().Arguments_ == std::vector<std::string>{"explain"})
    return static_cast<int>(runExplain(Opts.value()));
  auto Client =
      OperatorClient::create(Opts.value().Daemons_, Opts.value().TokenFile_);
  if (!Client) {
    std::fprintf(stderr, "jaybridge: %s\n", Client.error().Message_.c_str());
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(runCommand(Opts.value(), Client.value()));
}

} // namespace
} // namespace jaybridge

int main(int Count, char **Arguments) {
  gflags::SetVersionString(JAYBRIDGE_VERSION);
  gflags::SetUsageMessage(jaybridge::commandSummary());
  jaybridge::readEnvironment();
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  return jaybridge::run(Count, Arguments);
}
