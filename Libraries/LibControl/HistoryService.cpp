#include <LibControl/HistoryService.h>

namespace jaybridge {

void HistoryService::handle(const Event &Incoming, TimePoint Now,
                            Effects &Out) {
  std::visit(Overloaded{
                 [&](const RecordStep &Step) { History_.record(Step, Now); },
                 [&](const AuditEntry &Entry) { Trail_.append(Entry); },
                 [&](const TraceAsked &Asked) {
                   Out.emplace_back(TraceFound{
                       Asked.Query_, History_.stepsOf(Asked.Request_)});
                 },
                 [&](const AuditAsked &Asked) {
                   Out.emplace_back(AuditFound{Asked.Query_,
                                               Trail_.matching(Asked.Filter_)});
                 },
             },
             Incoming);
}

} // namespace jaybridge
