#pragma once

#include <LibControl/Queries.h>
#include <LibCore/DecisionRole.h>
#include <LibTrace/AuditTrail.h>
#include <LibTrace/RequestHistory.h>

#include <variant>

namespace jaybridge {

struct TraceAsked {
  QueryId Query_;
  RequestId Request_;
};

struct AuditAsked {
  QueryId Query_;
  AuditQuery Filter_;
};

struct TraceFound {
  QueryId Query_;
  Result<std::vector<TimedStep>> Steps_;
};

struct AuditFound {
  QueryId Query_;
  std::vector<AuditEntry> Entries_;
};

/// Keeps the histories of the requests that this daemon handled, and the audit
/// entries that reached it.
class HistoryService {
public:
  using Event = std::variant<RecordStep, AuditEntry, TraceAsked, AuditAsked>;
  using Effect = std::variant<TraceFound, AuditFound>;
  using Effects = std::vector<Effect>;

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint /*Now*/, Effects & /*Out*/) {}
  std::optional<TimePoint> nextDeadline() const { return std::nullopt; }

private:
  RequestHistory History_;
  AuditTrail Trail_;
};

static_assert(DecisionRole<HistoryService>);

} // namespace jaybridge
