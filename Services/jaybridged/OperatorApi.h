#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/FleetMessages.h>
#include <LibControl/HistoryService.h>
#include <LibHTTP/ControlListener.h>

#include <functional>
#include <map>
#include <mutex>

namespace jaybridge {

/// Where operators' questions go. False when the receiver's ring is full.
struct OperatorOutlets {
  std::function<bool(OperatorChangeRequest)> Change_;
  std::function<bool(OperatorCatalogRequest)> Catalog_;
  std::function<bool(OperatorAuditRequest)> Audit_;
  std::function<bool(OperatorTraceRequest)> Trace_;
  std::function<bool(OperatorStatusRequest)> Status_;
};

/// Turns operators' HTTP requests into questions for the duty threads, and
/// their answers into JSON. Answers come from any thread.
class OperatorApi {
public:
  explicit OperatorApi(OperatorOutlets Outlets)
      : Outlets_(std::move(Outlets)) {}

  std::vector<ControlRoute> routes();

  void answer(const OperatorChangeResponse &Answered);
  void answer(const OperatorCatalogResponse &Answered);
  void answer(const OperatorAuditResponse &Found);
  void answer(const OperatorTraceResponse &Found);
  void answer(const OperatorStatusResponse &Found);

private:
  /// What to do with a catalog once it is there.
  using CatalogWriter =
      std::function<ControlResponse(const ConfigurationSnapshot &)>;
  struct Waiting {
    ControlReply Reply_;
    CatalogWriter Writer_;
    ChangeRequestId RequestId_;
  };

  void postChange(const ControlRequest &Asked, ControlReply Reply);
  void getCatalog(CatalogWriter Writer, ControlReply Reply);
  void getAudit(const ControlRequest &Asked, ControlReply Reply);
  void getTrace(const ControlRequest &Asked, ControlReply Reply);

  QueryId wait(Waiting Opened);
  std::optional<Waiting> take(QueryId Query);
  /// Answers 503 when the question could not be passed on.
  void refuseUnless(bool IsPassedOn, QueryId Query);

  OperatorOutlets Outlets_;
  std::mutex Mutex_;
  QueryId Last_;
  std::map<QueryId, Waiting> Waiting_;
};

} // namespace jaybridge
