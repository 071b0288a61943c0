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
std::string queryParameter(const std::string &Query, const std::string &Name) {
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

/// The part of the path after the last '/'.
std::string lastSegment(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

ControlResponse profileResponse(const ConfigurationSnapshot &Catalog,
                                const std::string &Name) {
  for (const ProfileDraft &Profile : Catalog.Profiles_) {
    if (Profile.Name_.text() != Name)
      continue;
    Json Body = toJson(Profile);
    Body["version"] = Catalog.Version_.value();
    return jsonResponse(Body);
  }
  return problemResponse(
      Error{ErrorCode::NotFound, "no profile is named '" + Name + "'", {}});
}

ControlResponse serviceResponse(const ConfigurationSnapshot &Catalog,
                                const std::string &Name) {
  for (const AssignService &Assignment : Catalog.Assignments_)
    if (Assignment.Service_.text() == Name)
      return jsonResponse({{"service", Name},
                           {"profile", Assignment.Profile_.text()},
                           {"version", Catalog.Version_.value()}});
  return problemResponse(
      Error{ErrorCode::NotFound,
            "no profile is assigned to service '" + Name + "'",
            {}});
}

Result<AuditQuery> readAuditQuery(const std::string &Query) {
  AuditQuery Filter;
  if (std::string Since = queryParameter(Query, "since_ms"); !Since.empty()) {
    std::int64_t Milliseconds = 0;
    auto [End, Failure] = std::from_chars(
        Since.data(), Since.data() + Since.size(), Milliseconds);
    if (Failure != std::errc() || End != Since.data() + Since.size())
      return Error{ErrorCode::Invalid,
                   "since_ms must be milliseconds since 1970", "since_ms"};
    Filter.Since_ = WallTime(std::chrono::milliseconds(Milliseconds));
  }
  if (std::string Service = queryParameter(Query, "service"); !Service.empty())
    Filter.Service_ = ServiceName(Service);
  if (std::string Kind = queryParameter(Query, "kind"); !Kind.empty()) {
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
  Routes.push_back(
      ControlRoute{"POST", "/v1/changes", ControlAccess::TokenRequired,
                   [this](ControlRequest HttpRequest, ControlReply Reply) {
                     postChange(HttpRequest, std::move(Reply));
                   }});
  Routes.push_back(
      Get("/v1/profiles", [this](ControlRequest, ControlReply Reply) {
        getCatalog(
            [](const ConfigurationSnapshot &Catalog) {
              return jsonResponse(profilesJson(Catalog));
            },
            std::move(Reply));
      }));
  Routes.push_back(Get("/v1/profiles/",
                       [this](ControlRequest HttpRequest, ControlReply Reply) {
                         getCatalog(
                             [Name = lastSegment(HttpRequest.Path_)](
                                 const ConfigurationSnapshot &Catalog) {
                               return profileResponse(Catalog, Name);
                             },
                             std::move(Reply));
                       }));
  Routes.push_back(
      Get("/v1/services", [this](ControlRequest, ControlReply Reply) {
        getCatalog(
            [](const ConfigurationSnapshot &Catalog) {
              return jsonResponse(servicesJson(Catalog));
            },
            std::move(Reply));
      }));
  Routes.push_back(Get("/v1/services/",
                       [this](ControlRequest HttpRequest, ControlReply Reply) {
                         getCatalog(
                             [Name = lastSegment(HttpRequest.Path_)](
                                 const ConfigurationSnapshot &Catalog) {
                               return serviceResponse(Catalog, Name);
                             },
                             std::move(Reply));
                       }));
  Routes.push_back(
      Get("/v1/audit", [this](ControlRequest HttpRequest, ControlReply Reply) {
        getAudit(HttpRequest, std::move(Reply));
      }));
  Routes.push_back(
      Get("/v1/trace/", [this](ControlRequest HttpRequest, ControlReply Reply) {
        getTrace(HttpRequest, std::move(Reply));
      }));
  Routes.push_back(
      Get("/v1/status", [this](ControlRequest, ControlReply Reply) {
        QueryId Query = addPending(PendingRequest{std::move(Reply), {}, {}});
        refuseUnlessQueued(Sinks_.Status_(OperatorStatusRequest{Query}), Query);
      }));
  return Routes;
}

void OperatorApi::postChange(const ControlRequest &HttpRequest,
                             ControlReply Reply) {
  auto Change = parseConfigurationChange(
      Json::parse(HttpRequest.Body_, nullptr, false), wallNow());
  if (!Change) {
    Reply(problemResponse(Change.error()));
    return;
  }
  QueryId Query = addPending(
      PendingRequest{std::move(Reply), {}, Change.value().RequestId_});
  refuseUnlessQueued(
      Sinks_.Change_(OperatorChangeRequest{Query, Change.takeValue()}), Query);
}

void OperatorApi::getCatalog(CatalogFormatter Formatter, ControlReply Reply) {
  QueryId Query =
      addPending(PendingRequest{std::move(Reply), std::move(Formatter), {}});
  refuseUnlessQueued(Sinks_.Catalog_(OperatorCatalogRequest{Query}), Query);
}

void OperatorApi::getAudit(const ControlRequest &HttpRequest,
                           ControlReply Reply) {
  auto Filter = readAuditQuery(HttpRequest.Query_);
  if (!Filter) {
    Reply(problemResponse(Filter.error()));
    return;
  }
  QueryId Query = addPending(PendingRequest{std::move(Reply), {}, {}});
  refuseUnlessQueued(
      Sinks_.Audit_(OperatorAuditRequest{Query, Filter.takeValue()}), Query);
}

void OperatorApi::getTrace(const ControlRequest &HttpRequest,
                           ControlReply Reply) {
  QueryId Query = addPending(PendingRequest{std::move(Reply), {}, {}});
  RequestId TracedRequest(lastSegment(HttpRequest.Path_));
  refuseUnlessQueued(Sinks_.Trace_(OperatorTraceRequest{
                         Query, std::move(TracedRequest), MemberId()}),
                     Query);
}

void OperatorApi::answer(const OperatorChangeResponse &Response) {
  auto Pending = takePending(Response.Query_);
  if (!Pending)
    return;
  if (!Response.Answer_) {
    Pending->Reply_(problemResponse(Response.Answer_.error()));
    return;
  }
  Pending->Reply_(jsonResponse({{"version", Response.Answer_.value().value()},
                                {"request_id", Pending->RequestId_.text()}}));
}

void OperatorApi::answer(const OperatorCatalogResponse &Response) {
  auto Pending = takePending(Response.Query_);
  if (!Pending)
    return;
  Pending->Reply_(Response.Answer_
                      ? Pending->Formatter_(Response.Answer_.value())
                      : problemResponse(Response.Answer_.error()));
}

void OperatorApi::answer(const OperatorAuditResponse &Response) {
  if (auto Pending = takePending(Response.Query_))
    Pending->Reply_(jsonResponse(auditJson(Response.Entries_)));
}

void OperatorApi::answer(const OperatorTraceResponse &Response) {
  auto Pending = takePending(Response.Query_);
  if (!Pending)
    return;
  Pending->Reply_(Response.Steps_
                      ? jsonResponse(traceJson(Response.Steps_.value()))
                      : problemResponse(Response.Steps_.error()));
}

void OperatorApi::answer(const OperatorStatusResponse &Response) {
  if (auto Pending = takePending(Response.Query_))
    Pending->Reply_(jsonResponse(statusJson(Response)));
}

QueryId OperatorApi::addPending(PendingRequest Added) {
  std::lock_guard Lock(Mutex_);
  LastQuery_ = LastQuery_.next();
  Pending_.emplace(LastQuery_, std::move(Added));
  return LastQuery_;
}

std::optional<OperatorApi::PendingRequest>
OperatorApi::takePending(QueryId Query) {
  std::lock_guard Lock(Mutex_);
  auto Found = Pending_.find(Query);
  if (Found == Pending_.end())
    return std::nullopt;
  PendingRequest Taken = std::move(Found->second);
  Pending_.erase(Found);
  return Taken;
}

void OperatorApi::refuseUnlessQueued(bool IsQueued, QueryId Query) {
  if (IsQueued)
    return;
  if (auto Pending = takePending(Query))
    Pending->Reply_(problemResponse(
        Error{ErrorCode::Unavailable, "the daemon is overloaded", {}}));
}

} // namespace jaybridge
