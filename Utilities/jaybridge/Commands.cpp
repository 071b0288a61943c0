#include <Commands.h>

#include <ReplyPrinter.h>

#include <chrono>
#include <cstdio>
#include <random>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

void printChange(const Json &Body) {
  print("accepted as version " + cellText(Body, "version") + " (request id " +
        cellText(Body, "request_id") + ")\n");
}

Result<ConfigurationVersion> currentVersion(const OperatorClient &Client) {
  JAYBRIDGE_TRY(OperatorReply Reply, Client.get("/v1/profiles"));
  Json Body = Json::parse(Reply.Body_, nullptr, false);
  if (!Body.is_object() || !Body.value("version", Json()).is_number_unsigned())
    return Error{ErrorCode::Unavailable,
                 "the current configuration version is unknown",
                 {}};
  return ConfigurationVersion(Body["version"].get<std::uint64_t>());
}

ExitCode sendChange(const Options &Opts, const OperatorClient &Client,
                    Json Change) {
  auto BasedOn =
      Opts.BasedOn_ ? Result(*Opts.BasedOn_) : currentVersion(Client);
  if (!BasedOn) {
    printError("jaybridge: " + BasedOn.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  Change["based_on"] = BasedOn.value().value();
  Change["author"] = Opts.Author_;
  Change["request_id"] = Opts.RequestId_;
  ExitCode Code =
      printReply(Opts, Client.post("/v1/changes", Change.dump()), printChange);
  if (Code == ExitCode::Unavailable)
    printError("jaybridge: the outcome is unknown; repeat with --request-id " +
               Opts.RequestId_ + " --based-on " +
               std::to_string(BasedOn.value().value()) + "\n");
  return Code;
}

ExitCode createProfile(const Options &Opts, const OperatorClient &Client) {
  Json Fields = Opts.ProfileFields_;
  Fields["name"] = Opts.Arguments_[2];
  return sendChange(Opts, Client,
                    {{"action", "create-profile"}, {"profile", Fields}});
}

/// Sends the whole profile, so that fields without a flag keep their values
/// from the version that the change is based on.
ExitCode updateProfile(const Options &Opts, const OperatorClient &Client) {
  auto Reply = Client.get("/v1/profiles/" + Opts.Arguments_[2]);
  if (!Reply) {
    printError("jaybridge: " + Reply.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  if (exitCodeFor(Reply.value().Status_) != ExitCode::Success)
    return reportFailure(Reply.value());
  Json Fields = Json::parse(Reply.value().Body_, nullptr, false);
  if (!Fields.is_object() || !Fields.contains("version")) {
    printError("jaybridge: the daemon's reply is not a profile\n");
    return ExitCode::Failure;
  }
  Options BasedOpts = Opts;
  if (!BasedOpts.BasedOn_)
    BasedOpts.BasedOn_ =
        ConfigurationVersion(Fields["version"].get<std::uint64_t>());
  Fields.erase("version");
  Fields.update(Opts.ProfileFields_);
  return sendChange(BasedOpts, Client,
                    {{"action", "update-profile"}, {"profile", Fields}});
}

ExitCode showProfile(const Options &Opts, const OperatorClient &Client) {
  return printReply(Opts, Client.get("/v1/profiles/" + Opts.Arguments_[2]),
                    printFields);
}

ExitCode listProfiles(const Options &Opts, const OperatorClient &Client) {
  return printReply(
      Opts, Client.get("/v1/profiles"),
      tablePrinter("profiles",
                   {"name", "repeatable", "patience_ms", "floor_percent",
                    "class_weight", "retry_budget_percent", "hedging"}));
}

ExitCode assignService(const Options &Opts, const OperatorClient &Client) {
  return sendChange(Opts, Client,
                    {{"action", "assign-service"},
                     {"service", Opts.Arguments_[2]},
                     {"profile_name", Opts.ProfileName_}});
}

ExitCode showService(const Options &Opts, const OperatorClient &Client) {
  return printReply(Opts, Client.get("/v1/services/" + Opts.Arguments_[2]),
                    printFields);
}

ExitCode showStatus(const Options &Opts, const OperatorClient &Client) {
  return printReply(Opts, Client.get("/v1/status"), [](const Json &Body) {
    print("configuration version " + cellText(Body, "configuration_version") +
          " in force at " + cellText(Body, "member") + "\n\n");
    tablePrinter("members", {"id", "failure_domain", "state", "control",
                             "configuration_version", "versions_behind"})(Body);
    print("\n");
    tablePrinter("services", {"service", "profile", "serving", "draining",
                              "ejected", "floor_percent"})(Body);
  });
}

ExitCode showAudit(const Options &Opts, const OperatorClient &Client) {
  std::string Query = "/v1/audit?since_ms=" + Opts.Since_ +
                      "&service=" + Opts.Service_ + "&kind=" + Opts.Kind_;
  return printReply(
      Opts, Client.get(Query),
      tablePrinter("entries", {"at_ms", "kind", "actor", "service", "based_on",
                               "version", "request_id", "outcome", "detail"}));
}

ExitCode showTrace(const Options &Opts, const OperatorClient &Client) {
  return printReply(
      Opts, Client.get("/v1/trace/" + Opts.Arguments_[1]),
      tablePrinter("steps", {"member", "at_us", "step", "service", "version",
                             "instance", "failure_domain", "detail"}));
}

struct Command {
  const char *Name_;
  const char *Subcommand_;
  /// Number of positional arguments, including the command itself.
  std::size_t ArgumentCount_;
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

bool matches(const Command &Candidate,
             const std::vector<std::string> &Arguments) {
  if (Arguments.size() != Candidate.ArgumentCount_ ||
      Arguments[0] != Candidate.Name_)
    return false;
  return Candidate.Subcommand_ == nullptr ||
         Arguments[1] == Candidate.Subcommand_;
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
         "  explain --gateway A.B.C.D:PORT --host HOST --path PATH "
         "[--method M] [--team T]\n"
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

ExitCode runCommand(const Options &Opts, const OperatorClient &Client) {
  for (const Command &Candidate : Commands)
    if (matches(Candidate, Opts.Arguments_))
      return Candidate.Run_(Opts, Client);
  printError(std::string("usage: ") + commandSummary() + "\n");
  return ExitCode::Usage;
}

} // namespace jaybridge
