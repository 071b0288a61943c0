#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/FleetMessages.h>
#include <LibControl/HistoryService.h>
#include <LibHTTP/ControlListener.h>

#include <functional>
#include <map>
#include <mutex>

namespace jaybridge {

/// Receivers of operators' requests, one for each kind. They return false when
/// the receiver's ring is full.
struct OperatorSinks {
  std::function<bool(OperatorChangeRequest)> Change_;
  std::function<bool(OperatorCatalogRequest)> Catalog_;
  std::function<bool(OperatorAuditRequest)> Audit_;
  std::function<bool(OperatorTraceRequest)> Trace_;
  std::function<bool(OperatorStatusRequest)> Status_;
};

/// HTTP API for operators: passes each request as a query to the role that
/// answers it, and writes the answer as JSON. The answer functions may be
/// called from any thread.
class OperatorApi {
public:
  explicit OperatorApi(OperatorSinks Sinks) : Sinks_(std::move(Sinks)) {}

  std::vector<ControlRoute> routes();

  void answer(const OperatorChangeResponse &Response);
  void answer(const OperatorCatalogResponse &Response);
  void answer(const OperatorAuditResponse &Response);
  void answer(const OperatorTraceResponse &Response);
  void answer(const OperatorStatusResponse &Response);

private:
  /// Builds the response from the catalog when it has arrived.
  using CatalogFormatter =
      std::function<ControlResponse(const ConfigurationSnapshot &)>;
  /// An HTTP request that waits for the answer to its query.
  struct PendingRequest {
    ControlReply Reply_;
    CatalogFormatter Formatter_;
    ChangeRequestId RequestId_;
  };

  void postChange(const ControlRequest &HttpRequest, ControlReply Reply);
  void getCatalog(CatalogFormatter Formatter, ControlReply Reply);
  void getAudit(const ControlRequest &HttpRequest, ControlReply Reply);
  void getTrace(const ControlRequest &HttpRequest, ControlReply Reply);

  /// Registers a request under a new query id.
  QueryId addPending(PendingRequest Added);
  /// Empty when the query is unknown or already answered.
  std::optional<PendingRequest> takePending(QueryId Query);
  /// Answers 503 when the query could not be queued.
  void refuseUnlessQueued(bool IsQueued, QueryId Query);

  OperatorSinks Sinks_;
  std::mutex Mutex_;
  QueryId LastQuery_;
  std::map<QueryId, PendingRequest> Pending_;
};

} // namespace jaybridge
