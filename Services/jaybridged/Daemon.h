#pragma once

#include <OperatorApi.h>
#include <RequestPath.h>

#include <LibControl/HistoryService.h>
#include <LibControl/LedgerService.h>
#include <LibHTTP/ControlListener.h>

#include <memory>
#include <mutex>

namespace jaybridge {

struct DaemonOptions {
  MemberId Self_;
  FailureDomain Domain_;
  Endpoint CallerAddress_;
  Endpoint AnnounceAddress_;
  Endpoint OperatorAddress_;
  AccessToken AnnounceToken_;
  AccessToken OperatorToken_;
};

/// All threads of the process and the rings between them.
class Daemon {
public:
  static Result<std::unique_ptr<Daemon>> create(DaemonOptions Options);
  ~Daemon();

  const Endpoint &callerAddress() const {
    return Requests_->callers().address();
  }
  const Endpoint &announceAddress() const { return Announcements_->address(); }
  const Endpoint &operatorAddress() const { return Operators_->address(); }

  /// Refuses new requests and waits for those in progress.
  [[nodiscard]] bool drain(Duration Limit) { return Requests_->drain(Limit); }

private:
  explicit Daemon(LedgerService Ledger);

  Status start(const DaemonOptions &Options);
  RequestPathOutlets requestOutlets();
  OperatorOutlets operatorOutlets();
  void announce(const ControlRequest &Asked, const ControlReply &Reply);
  // FIXME: The control members' replicated log takes the place of this local
  // catalog once storage and codecs stand.
  bool changeLocally(const ChangeAsked &Asked);

  DutyThread<LedgerService> Ledger_;
  DutyThread<HistoryService> History_;
  std::unique_ptr<RequestPath> Requests_;
  OperatorApi Api_;
  std::mutex CatalogMutex_;
  ConfigurationCatalog Catalog_;
  std::optional<ControlListener> Operators_;
  std::optional<ControlListener> Announcements_;
};

} // namespace jaybridge
