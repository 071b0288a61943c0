#pragma once

#include <LibControl/TraceMessages.h>
#include <LibCore/DecisionRole.h>
#include <LibTrace/AuditTrail.h>

#include <map>
#include <variant>

namespace jaybridge {

struct OperatorTraceRequest {
  QueryId Query_;
  RequestId Request_;
  /// The daemon that received the request.
  MemberId Receiver_;
};

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

/// Keeps the histories of the requests that this daemon handled, and the audit
/// entries that reached it. Histories of other daemons are fetched from them.
class HistoryService {
public:
  static constexpr Duration AnswerLimit = 3s;
  static constexpr std::size_t GreatestOpenCount = 1024;

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
  struct OpenQuestion {
    MemberId Receiver_;
    TimePoint GivenUpAt_;
  };

  void ask(const OperatorTraceRequest &Asked, TimePoint Now, Effects &Out);
  void receive(const FromMember<TraceMessage> &Got, Effects &Out);

  MemberId Self_;
  RequestHistory History_;
  AuditTrail Trail_;
  std::map<QueryId, OpenQuestion> Open_;
};

static_assert(DecisionRole<HistoryService>);

} // namespace jaybridge
