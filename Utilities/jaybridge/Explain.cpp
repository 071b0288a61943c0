#include <Explain.h>

#include <ReplyPrinter.h>

#include <curl/curl.h>

#include <cstdio>
#include <memory>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

std::string escaped(const std::string &Text) {
  const std::unique_ptr<char, decltype(&curl_free)> Escaped(
      curl_easy_escape(nullptr, Text.data(), static_cast<int>(Text.size())),
      &curl_free);
  JAYBRIDGE_VERIFY(Escaped != nullptr);
  return Escaped.get();
}

std::string explainPath(const ExplainOptions &Asked) {
  std::string Path = "/explain?host=" + escaped(Asked.Host_) +
                     "&path=" + escaped(Asked.Path_) +
                     "&method=" + escaped(Asked.Method_);
  return Asked.Team_.empty() ? Path : Path + "&team=" + escaped(Asked.Team_);
}

std::string admissionText(const Json &Service) {
  std::string Text = cellText(Service, "admission");
  if (Service.contains("expected_wait_ms"))
    Text += " for about " + cellText(Service, "expected_wait_ms") + " ms";
  if (Service.contains("home"))
    Text += " to " + cellText(Service, "home");
  if (Service.contains("reason"))
    Text += ": " + cellText(Service, "reason");
  return Text;
}

/// Shortens the cost, which is a fraction, for the table.
Json withShortCosts(Json Service) {
  for (Json &Candidate : Service["candidates"]) {
    if (!Candidate.value("cost", Json()).is_number())
      continue;
    char Cost[32];
    std::snprintf(Cost, sizeof(Cost), "%.3f", Candidate["cost"].get<double>());
    Candidate["cost"] = Cost;
  }
  return Service;
}

void printExplanation(const Json &Body) {
  print("configuration version " + cellText(Body, "configuration_version") +
        ", route " + cellText(Body, "route") + ", team " +
        cellText(Body, "team") + ", tokens left " +
        cellText(Body, "tokens_left") + "\n");
  if (cellText(Body, "refused") != "-")
    print("refused: " + cellText(Body, "refused") + "\n");
  for (const Json &Service : Body.value("services", Json::array())) {
    print("\nservice " + cellText(Service, "service") + ", weight " +
          cellText(Service, "weight") + ": " + admissionText(Service) + "\n");
    tablePrinter("candidates",
                 {"instance", "failure_domain", "own_domain", "cost", "in_use",
                  "limit", "reason"})(withShortCosts(Service));
  }
}

} // namespace

ExitCode runExplain(const Options &Opts) {
  const ExplainOptions &Asked = Opts.Explain_;
  if (!Asked.Gateway_ || Asked.Host_.empty() || Asked.Path_.empty()) {
    printError("jaybridge: explain needs --gateway, --host and --path\n");
    return ExitCode::Usage;
  }
  return printReply(
      Opts, OperatorClient::open(*Asked.Gateway_).get(explainPath(Asked)),
      printExplanation);
}

} // namespace jaybridge
