#include <ExplainRoute.h>

#include <ControlResponses.h>

#include <LibOperator/ExplanationJson.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>

namespace jaybridge {

namespace {

using Parameters = std::map<std::string, std::string, std::less<>>;

/// Decodes "%41" to "A"; none when an escape is incomplete.
std::optional<std::string> decoded(std::string_view Text) {
  constexpr std::size_t EscapeLength = 3;
  std::string Plain;
  while (!Text.empty()) {
    if (Text.front() != '%') {
      Plain += Text.front();
      Text.remove_prefix(1);
      continue;
    }
    unsigned Value = 0;
    const char *End = Text.data() + std::min(Text.size(), EscapeLength);
    if (Text.size() < EscapeLength ||
        std::from_chars(Text.data() + 1, End, Value, 16).ptr != End)
      return std::nullopt;
    Plain += static_cast<char>(Value);
    Text.remove_prefix(EscapeLength);
  }
  return Plain;
}

Result<Parameters> parseQuery(std::string_view Query) {
  Parameters Parsed;
  while (!Query.empty()) {
    const std::string_view Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    const std::string Name(Pair.substr(0, Equals));
    std::optional<std::string> Value =
        decoded(Pair.substr(std::min(Pair.size(), Equals + 1)));
    if (!Value)
      return Error{ErrorCode::Invalid, "the value has an incomplete escape",
                   Name};
    Parsed[Name] = std::move(*Value);
  }
  return Parsed;
}

Result<std::shared_ptr<const Request>> requestOf(const Parameters &Parsed) {
  for (const char *Name : {"host", "path", "method"})
    if (auto Found = Parsed.find(Name);
        Found == Parsed.end() || Found->second.empty())
      return Error{ErrorCode::Invalid,
                   std::string("the parameter '") + Name + "' is missing",
                   Name};
  if (!Parsed.at("path").starts_with('/'))
    return Error{ErrorCode::Invalid, "the path must begin with '/'", "path"};
  auto Asked = std::make_shared<Request>();
  Asked->Authority_ = Parsed.at("host");
  Asked->Method_ = Parsed.at("method");
  Asked->Target_ = Parsed.at("path");
  return std::shared_ptr<const Request>(std::move(Asked));
}

ControlResponse respond(const ControlRequest &Received,
                        const ExplainFunction &Explain) {
  auto Parsed = parseQuery(Received.Query_);
  if (!Parsed)
    return problemResponse(Parsed.error());
  auto Asked = requestOf(Parsed.value());
  if (!Asked)
    return problemResponse(Asked.error());
  std::optional<TeamName> Team;
  if (auto Found = Parsed.value().find("team");
      Found != Parsed.value().end() && !Found->second.empty())
    Team = TeamName(Found->second);
  auto Explained = Explain(Asked.takeValue(), std::move(Team));
  if (!Explained)
    return problemResponse(Explained.error());
  return jsonResponse(explanationJson(*Explained.value()));
}

} // namespace

ControlRoute explainRoute(ExplainFunction Explain) {
  return {"GET", "/explain", ControlAccess::Open,
          [Explain = std::move(Explain)](const ControlRequest &Received,
                                         const ControlReply &Reply) {
            Reply(respond(Received, Explain));
          }};
}

} // namespace jaybridge
