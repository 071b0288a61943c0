#pragma once

#include <LibControl/TraceMessages.h>
#include <LibCore/DecisionRole.h>
#include <LibTrace/AuditTrail.h>

#include <map>
#include <variant>

namespace jaybridge {

/// Event: an operator requests the steps of a caller's request.
struct OperatorTraceRequest {
  QueryId Query_;
  RequestId Request_;
  /// The daemon that received the caller's request; empty if the request id is
  /// malformed.
  MemberId Receiver_;
};

/// Event: an operator requests audit entries.
struct OperatorAuditRequest {
  QueryId Query_;
  AuditQuery Filter_;
};

struct OperatorTraceResponse {
  QueryId Query_;
  Result<std::vector<TimedStep>> Steps_;
};

struct OperatorAuditResponse {
  QueryId Query_;
  std::vector<AuditEntry> Entries_;
};

/// History role of a daemon. Stores the steps of the requests that this daemon
/// handled and the audit entries that reached it. Fetches the steps of other
/// requests from the daemons that received them.
class HistoryService {
public:
  /// Time after which a trace request to another daemon fails.
  static constexpr Duration AnswerTimeout = 3s;
  static constexpr std::size_t MaxPendingRequests = 1024;

  using Event = std::variant<RecordStep, AuditEntry, OperatorTraceRequest,
                             OperatorAuditRequest, FromMember<TraceMessage>>;
  using Effect = std::variant<OperatorTraceResponse, OperatorAuditResponse,
                              SendToMember<TraceMessage>>;
  using Effects = std::vector<Effect>;

  explicit HistoryService(MemberId Self) : Self_(std::move(Self)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

private:
  struct PendingRequest {
    MemberId Receiver_;
    TimePoint ExpiresAt_;
  };

  void requestTrace(const OperatorTraceRequest &Request, TimePoint Now,
                    Effects &Out);
  void handleMessage(const FromMember<TraceMessage> &Received, Effects &Out);

  MemberId Self_;
  RequestHistory History_;
  AuditTrail Trail_;
  std::map<QueryId, PendingRequest> PendingRequests_;
};

static_assert(DecisionRole<HistoryService>);

} // namespace jaybridge
