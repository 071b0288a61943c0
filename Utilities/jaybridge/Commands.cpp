#include <Commands.h>

#include <Table.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <random>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

void print(const std::string &Text) { std::fputs(Text.c_str(), stdout); }
void complain(const std::string &Text) { std::fputs(Text.c_str(), stderr); }

std::string cell(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

ExitCode exitCodeOf(StatusCode Status) {
  switch (Status.value()) {
  case 200:
    return ExitCode::Success;
  case 404:
    return ExitCode::NotFound;
  case 409:
    return ExitCode::Conflict;
  case 400:
  case 422:
    return ExitCode::Invalid;
  default:
    return ExitCode::Failure;
  }
}

ExitCode reportFailure(const OperatorReply &Reply) {
  Json Problem = Json::parse(Reply.Body_, nullptr, false);
  if (Problem.is_object() && Problem.contains("detail"))
    complain("jaybridge: " + cell(Problem, "detail") + "\n");
  else
    complain("jaybridge: " + Reply.Body_ + "\n");
  return exitCodeOf(Reply.Status_);
}

using Printer = std::function<void(const Json &)>;

/// Prints the reply as JSON or through the printer, or says why there is none.
ExitCode show(const Options &Given, const Result<OperatorReply> &Reply,
              const Printer &Print) {
  if (!Reply) {
    complain("jaybridge: " + Reply.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  if (exitCodeOf(Reply.value().Status_) != ExitCode::Success)
    return reportFailure(Reply.value());
  Json Body = Json::parse(Reply.value().Body_, nullptr, false);
  if (Body.is_discarded()) {
    complain("jaybridge: the daemon's reply is not JSON\n");
    return ExitCode::Failure;
  }
  if (Given.PrintsJson_)
    print(Body.dump(2) + "\n");
  else
    Print(Body);
  return ExitCode::Success;
}

Printer rowsPrinter(const char *List, std::vector<const char *> Fields) {
  return [=](const Json &Body) {
    std::vector<std::string> Titles(Fields.begin(), Fields.end());
    Table Rows(Titles);
    for (const Json &Object : Body.value(List, Json::array())) {
      std::vector<std::string> Cells;
      Cells.reserve(Fields.size());
      for (const char *Field : Fields)
        Cells.push_back(cell(Object, Field));
      Rows.add(std::move(Cells));
    }
    print(Rows.text());
  };
}

void printFields(const Json &Body) {
  Table Rows({"field", "value"});
  for (const auto &[Name, Value] : Body.items())
    Rows.add({Name, cell(Body, Name.c_str())});
  print(Rows.text());
}

void printChange(const Json &Body) {
  print("accepted as version " + cell(Body, "version") + " (request id " +
        cell(Body, "request_id") + ")\n");
}

Result<ConfigurationVersion> versionInForce(const OperatorClient &Client) {
  JAYBRIDGE_TRY(OperatorReply Reply, Client.get("/v1/profiles"));
  Json Body = Json::parse(Reply.Body_, nullptr, false);
  if (!Body.is_object() || !Body.value("version", Json()).is_number_unsigned())
    return Error{
        ErrorCode::Unavailable, "the version in force is not known", {}};
  return ConfigurationVersion(Body["version"].get<std::uint64_t>());
}

ExitCode sendChange(const Options &Given, const OperatorClient &Client,
                    Json Change) {
  auto BasedOn =
      Given.BasedOn_ ? Result(*Given.BasedOn_) : versionInForce(Client);
  if (!BasedOn) {
    complain("jaybridge: " + BasedOn.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  Change["based_on"] = BasedOn.value().value();
  Change["author"] = Given.Author_;
  Change["request_id"] = Given.RequestId_;
  ExitCode Code =
      show(Given, Client.post("/v1/changes", Change.dump()), printChange);
  if (Code == ExitCode::Unavailable)
    complain("jaybridge: the outcome is unknown; repeat with --request-id " +
             Given.RequestId_ + " --based-on " +
             std::to_string(BasedOn.value().value()) + "\n");
  return Code;
}

ExitCode createProfile(const Options &Given, const OperatorClient &Client) {
  Json Fields = Given.ProfileFields_;
  Fields["name"] = Given.Words_[2];
  return sendChange(Given, Client,
                    {{"action", "create-profile"}, {"profile", Fields}});
}

/// Sends the whole profile, so that what was not given stays as it was in the
/// version that the change is based on.
ExitCode updateProfile(const Options &Given, const OperatorClient &Client) {
  auto Reply = Client.get("/v1/profiles/" + Given.Words_[2]);
  if (!Reply) {
    complain("jaybridge: " + Reply.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  if (exitCodeOf(Reply.value().Status_) != ExitCode::Success)
    return reportFailure(Reply.value());
  Json Fields = Json::parse(Reply.value().Body_, nullptr, false);
  if (!Fields.is_object() || !Fields.contains("version")) {
    complain("jaybridge: the daemon's reply is not a profile\n");
    return ExitCode::Failure;
  }
  Options Based = Given;
  if (!Based.BasedOn_)
    Based.BasedOn_ =
        ConfigurationVersion(Fields["version"].get<std::uint64_t>());
  Fields.erase("version");
  Fields.update(Given.ProfileFields_);
  return sendChange(Based, Client,
                    {{"action", "update-profile"}, {"profile", Fields}});
}

ExitCode showProfile(const Options &Given, const OperatorClient &Client) {
  return show(Given, Client.get("/v1/profiles/" + Given.Words_[2]),
              printFields);
}

ExitCode listProfiles(const Options &Given, const OperatorClient &Client) {
  return show(Given, Client.get("/v1/profiles"),
              rowsPrinter("profiles",
                          {"name", "repeatable", "patience_ms", "floor_percent",
                           "class_weight", "retry_budget_percent", "hedging"}));
}

ExitCode assignService(const Options &Given, const OperatorClient &Client) {
  return sendChange(Given, Client,
                    {{"action", "assign-service"},
                     {"service", Given.Words_[2]},
                     {"profile_name", Given.ProfileName_}});
}

ExitCode showService(const Options &Given, const OperatorClient &Client) {
  return show(Given, Client.get("/v1/services/" + Given.Words_[2]),
              printFields);
}

ExitCode showStatus(const Options &Given, const OperatorClient &Client) {
  return show(Given, Client.get("/v1/status"), [](const Json &Body) {
    print("configuration version " + cell(Body, "configuration_version") +
          " in force at " + cell(Body, "member") + "\n\n");
    rowsPrinter("members", {"id", "failure_domain", "state", "control",
                            "configuration_version", "versions_behind"})(Body);
    print("\n");
    rowsPrinter("services", {"service", "profile", "serving", "draining",
                             "ejected", "floor_percent"})(Body);
  });
}

ExitCode showAudit(const Options &Given, const OperatorClient &Client) {
  std::string Query = "/v1/audit?since_ms=" + Given.Since_ +
                      "&service=" + Given.Service_ + "&kind=" + Given.Kind_;
  return show(
      Given, Client.get(Query),
      rowsPrinter("entries", {"at_ms", "kind", "actor", "service", "based_on",
                              "version", "request_id", "outcome", "detail"}));
}

ExitCode showTrace(const Options &Given, const OperatorClient &Client) {
  return show(
      Given, Client.get("/v1/trace/" + Given.Words_[1]),
      rowsPrinter("steps", {"member", "at_us", "step", "service", "version",
                            "instance", "failure_domain", "detail"}));
}

struct Command {
  const char *First_;
  const char *Second_;
  /// Words that the command takes in all.
  std::size_t WordCount_;
  ExitCode (*Run_)(const Options &, const OperatorClient &);
};

constexpr Command Commands[] = {
    {"profile", "create", 3, createProfile},
    {"profile", "update", 3, updateProfile},
    {"profile", "show", 3, showProfile},
    {"profile", "list", 2, listProfiles},
    {"service", "assign", 3, assignService},
    {"service", "show", 3, showService},
    {"status", nullptr, 1, showStatus},
    {"audit", nullptr, 1, showAudit},
    {"trace", nullptr, 2, showTrace},
};

bool matches(const Command &Candidate, const std::vector<std::string> &Words) {
  if (Words.size() != Candidate.WordCount_ || Words[0] != Candidate.First_)
    return false;
  return Candidate.Second_ == nullptr || Words[1] == Candidate.Second_;
}

} // namespace

const char *commandSummary() {
  return "jaybridge [flags] COMMAND\n"
         "  profile create NAME   --repeatable --patience_ms N "
         "--floor_percent N ...\n"
         "  profile update NAME   only the given fields change\n"
         "  profile show NAME\n"
         "  profile list\n"
         "  service assign NAME --profile PROFILE\n"
         "  service show NAME\n"
         "  status\n"
         "  audit [--since MS] [--service NAME] [--kind KIND]\n"
         "  trace REQUEST_ID\n"
         "  key                   prints a new idempotency key (UUID version "
         "7)\n"
         "Each flag can also be set as JAYBRIDGE_FLAG in the environment.\n"
         "Exit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 unavailable,\n"
         "5 not found, 6 invalid.";
}

std::string newIdempotencyKey() {
  constexpr std::uint64_t TimeMask = 0xffffffffffff;
  std::random_device Device;
  auto Milliseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  char Text[40];
  std::snprintf(
      Text, sizeof(Text), "%08llx-%04llx-7%03x-%04x-%04x%08x",
      static_cast<unsigned long long>((Milliseconds & TimeMask) >> 16),
      static_cast<unsigned long long>(Milliseconds & 0xffff), Device() & 0xfff,
      (Device() & 0x3fff) | 0x8000, Device() & 0xffff, Device());
  return Text;
}

ExitCode runCommand(const Options &Given, const OperatorClient &Client) {
  for (const Command &Candidate : Commands)
    if (matches(Candidate, Given.Words_))
      return Candidate.Run_(Given, Client);
  complain(std::string("usage: ") + commandSummary() + "\n");
  return ExitCode::Usage;
}

} // namespace jaybridge
