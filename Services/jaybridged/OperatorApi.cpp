#include <OperatorApi.h>

#include <ControlResponses.h>

#include <LibOperator/ChangeJson.h>
#include <LibOperator/ProfileJson.h>
#include <LibOperator/StatusJson.h>
#include <LibOperator/TraceJson.h>
#include <LibRuntime/SystemClock.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

/// Value of a query parameter; empty when it is absent.
std::string parameter(const std::string &Query, const std::string &Name) {
  std::size_t Start = 0;
  while (Start < Query.size()) {
    std::size_t End = std::min(Query.find('&', Start), Query.size());
    std::string Pair = Query.substr(Start, End - Start);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
      return Pair.substr(Name.size() + 1);
    Start = End + 1;
  }
  return {};
}

/// The part of the path behind its last '/'.
std::string lastSegment(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

ControlResponse writeProfile(const ConfigurationSnapshot &Catalog,
                             const std::string &Name) {
  for (const ProfileDraft &Draft : Catalog.Profiles_) {
    if (Draft.Name_.text() != Name)
      continue;
    Json Body = toJson(Draft);
    Body["version"] = Catalog.Version_.value();
    return jsonResponse(Body);
  }
  return problemResponse(
      Error{ErrorCode::NotFound, "no profile is named '" + Name + "'", {}});
}

ControlResponse writeService(const ConfigurationSnapshot &Catalog,
                             const std::string &Name) {
  for (const AssignService &Assigned : Catalog.Assignments_)
    if (Assigned.Service_.text() == Name)
      return jsonResponse({{"service", Name},
                           {"profile", Assigned.Profile_.text()},
                           {"version", Catalog.Version_.value()}});
  return problemResponse(Error{
      ErrorCode::NotFound, "service '" + Name + "' runs under no profile", {}});
}

Result<AuditQuery> readAuditQuery(const std::string &Query) {
  AuditQuery Filter;
  if (std::string Since = parameter(Query, "since_ms"); !Since.empty()) {
    std::int64_t Milliseconds = 0;
    auto [End, Failure] = std::from_chars(
        Since.data(), Since.data() + Since.size(), Milliseconds);
    if (Failure != std::errc() || End != Since.data() + Since.size())
      return Error{ErrorCode::Invalid,
                   "since_ms must be milliseconds since 1970", "since_ms"};
    Filter.Since_ = WallTime(std::chrono::milliseconds(Milliseconds));
  }
  if (std::string Service = parameter(Query, "service"); !Service.empty())
    Filter.Service_ = ServiceName(Service);
  if (std::string Kind = parameter(Query, "kind"); !Kind.empty()) {
    Filter.Kind_ = parseAuditKind(Kind);
    if (!Filter.Kind_)
      return Error{ErrorCode::Invalid, "unknown kind '" + Kind + "'", "kind"};
  }
  return Filter;
}

} // namespace

std::vector<ControlRoute> OperatorApi::routes() {
  auto Get = [](std::string Path, ControlHandler Handler) {
    return ControlRoute{"GET", std::move(Path), ControlAccess::TokenRequired,
                        std::move(Handler)};
  };
  std::vector<ControlRoute> Routes;
  Routes.push_back(ControlRoute{"POST", "/v1/changes",
                                ControlAccess::TokenRequired,
                                [this](ControlRequest Asked, ControlReply To) {
                                  postChange(Asked, std::move(To));
                                }});
  Routes.push_back(Get("/v1/profiles", [this](ControlRequest, ControlReply To) {
    getCatalog(
        [](const ConfigurationSnapshot &Catalog) {
          return jsonResponse(profilesJson(Catalog));
        },
        std::move(To));
  }));
  Routes.push_back(
      Get("/v1/profiles/", [this](ControlRequest Asked, ControlReply To) {
        getCatalog(
            [Name = lastSegment(Asked.Path_)](
                const ConfigurationSnapshot &Catalog) {
              return writeProfile(Catalog, Name);
            },
            std::move(To));
      }));
  Routes.push_back(Get("/v1/services", [this](ControlRequest, ControlReply To) {
    getCatalog(
        [](const ConfigurationSnapshot &Catalog) {
          return jsonResponse(servicesJson(Catalog));
        },
        std::move(To));
  }));
  Routes.push_back(
      Get("/v1/services/", [this](ControlRequest Asked, ControlReply To) {
        getCatalog(
            [Name = lastSegment(Asked.Path_)](
                const ConfigurationSnapshot &Catalog) {
              return writeService(Catalog, Name);
            },
            std::move(To));
      }));
  Routes.push_back(
      Get("/v1/audit", [this](ControlRequest Asked, ControlReply To) {
        getAudit(Asked, std::move(To));
      }));
  Routes.push_back(
      Get("/v1/trace/", [this](ControlRequest Asked, ControlReply To) {
        getTrace(Asked, std::move(To));
      }));
  Routes.push_back(Get("/v1/status", [this](ControlRequest, ControlReply To) {
    QueryId Query = wait(Waiting{std::move(To), {}, {}});
    refuseUnless(Outlets_.Status_(StatusAsked{Query}), Query);
  }));
  return Routes;
}

void OperatorApi::postChange(const ControlRequest &Asked, ControlReply Reply) {
  auto Change = parseConfigurationChange(
      Json::parse(Asked.Body_, nullptr, false), wallNow());
  if (!Change) {
    Reply(problemResponse(Change.error()));
    return;
  }
  QueryId Query =
      wait(Waiting{std::move(Reply), {}, Change.value().RequestId_});
  refuseUnless(Outlets_.Change_(ChangeAsked{Query, Change.takeValue()}), Query);
}

void OperatorApi::getCatalog(CatalogWriter Writer, ControlReply Reply) {
  QueryId Query = wait(Waiting{std::move(Reply), std::move(Writer), {}});
  refuseUnless(Outlets_.Catalog_(CatalogAsked{Query}), Query);
}

void OperatorApi::getAudit(const ControlRequest &Asked, ControlReply Reply) {
  auto Filter = readAuditQuery(Asked.Query_);
  if (!Filter) {
    Reply(problemResponse(Filter.error()));
    return;
  }
  QueryId Query = wait(Waiting{std::move(Reply), {}, {}});
  refuseUnless(Outlets_.Audit_(AuditAsked{Query, Filter.takeValue()}), Query);
}

void OperatorApi::getTrace(const ControlRequest &Asked, ControlReply Reply) {
  QueryId Query = wait(Waiting{std::move(Reply), {}, {}});
  RequestId Wanted(lastSegment(Asked.Path_));
  refuseUnless(
      Outlets_.Trace_(TraceAsked{Query, std::move(Wanted), MemberId()}), Query);
}

void OperatorApi::answer(const ChangeAnswered &Answered) {
  auto Asker = take(Answered.Query_);
  if (!Asker)
    return;
  if (!Answered.Answer_) {
    Asker->Reply_(problemResponse(Answered.Answer_.error()));
    return;
  }
  Asker->Reply_(jsonResponse({{"version", Answered.Answer_.value().value()},
                              {"request_id", Asker->RequestId_.text()}}));
}

void OperatorApi::answer(const CatalogAnswered &Answered) {
  auto Asker = take(Answered.Query_);
  if (!Asker)
    return;
  Asker->Reply_(Answered.Answer_ ? Asker->Writer_(Answered.Answer_.value())
                                 : problemResponse(Answered.Answer_.error()));
}

void OperatorApi::answer(const AuditFound &Found) {
  if (auto Asker = take(Found.Query_))
    Asker->Reply_(jsonResponse(auditJson(Found.Entries_)));
}

void OperatorApi::answer(const TraceFound &Found) {
  auto Asker = take(Found.Query_);
  if (!Asker)
    return;
  Asker->Reply_(Found.Steps_ ? jsonResponse(traceJson(Found.Steps_.value()))
                             : problemResponse(Found.Steps_.error()));
}

void OperatorApi::answer(const StatusFound &Found) {
  if (auto Asker = take(Found.Query_))
    Asker->Reply_(jsonResponse(statusJson(Found)));
}

QueryId OperatorApi::wait(Waiting Opened) {
  std::lock_guard Lock(Mutex_);
  Last_ = Last_.next();
  Waiting_.emplace(Last_, std::move(Opened));
  return Last_;
}

std::optional<OperatorApi::Waiting> OperatorApi::take(QueryId Query) {
  std::lock_guard Lock(Mutex_);
  auto Found = Waiting_.find(Query);
  if (Found == Waiting_.end())
    return std::nullopt;
  Waiting Taken = std::move(Found->second);
  Waiting_.erase(Found);
  return Taken;
}

void OperatorApi::refuseUnless(bool IsPassedOn, QueryId Query) {
  if (IsPassedOn)
    return;
  if (auto Asker = take(Query))
    Asker->Reply_(problemResponse(
        Error{ErrorCode::Unavailable, "the daemon is overloaded", {}}));
}

} // namespace jaybridge
