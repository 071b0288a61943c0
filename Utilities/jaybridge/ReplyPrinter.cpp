#include <ReplyPrinter.h>

#include <Table.h>

#include <cstdio>

namespace jaybridge {

using Json = nlohmann::json;

void print(const std::string &Text) { std::fputs(Text.c_str(), stdout); }

void printError(const std::string &Text) { std::fputs(Text.c_str(), stderr); }

std::string cellText(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

ExitCode exitCodeFor(StatusCode Status) {
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
    printError("jaybridge: " + cellText(Problem, "detail") + "\n");
  else
    printError("jaybridge: " + Reply.Body_ + "\n");
  return exitCodeFor(Reply.Status_);
}

ExitCode printReply(const Options &Opts, const Result<OperatorReply> &Reply,
                    const BodyPrinter &PrintBody) {
  if (!Reply) {
    printError("jaybridge: " + Reply.error().Message_ + "\n");
    return ExitCode::Unavailable;
  }
  if (exitCodeFor(Reply.value().Status_) != ExitCode::Success)
    return reportFailure(Reply.value());
  Json Body = Json::parse(Reply.value().Body_, nullptr, false);
  if (Body.is_discarded()) {
    printError("jaybridge: the daemon's reply is not JSON\n");
    return ExitCode::Failure;
  }
  if (Opts.PrintsJson_)
    print(Body.dump(2) + "\n");
  else
    PrintBody(Body);
  return ExitCode::Success;
}

BodyPrinter tablePrinter(const char *ListName,
                         std::vector<const char *> Fields) {
  return [=](const Json &Body) {
    std::vector<std::string> Titles(Fields.begin(), Fields.end());
    Table Rows(Titles);
    for (const Json &Object : Body.value(ListName, Json::array())) {
      std::vector<std::string> Cells;
      Cells.reserve(Fields.size());
      for (const char *Field : Fields)
        Cells.push_back(cellText(Object, Field));
      Rows.add(std::move(Cells));
    }
    print(Rows.text());
  };
}

void printFields(const Json &Body) {
  Table Rows({"field", "value"});
  for (const auto &[Name, Value] : Body.items())
    Rows.add({Name, cellText(Body, Name.c_str())});
  print(Rows.text());
}

} // namespace jaybridge
