#include <LibControl/HistoryService.h>

namespace jaybridge {

void HistoryService::handle(const Event &Incoming, TimePoint Now,
                            Effects &Out) {
  std::visit(Overloaded{
                 [&](const RecordStep &Step) { History_.record(Step, Now); },
                 [&](const AuditEntry &Entry) { Trail_.append(Entry); },
                 [&](const OperatorTraceRequest &Request) {
                   requestTrace(Request, Now, Out);
                 },
                 [&](const OperatorAuditRequest &Request) {
                   Out.emplace_back(OperatorAuditResponse{
                       Request.Query_, Trail_.findEntries(Request.Filter_)});
                 },
                 [&](const FromMember<TraceMessage> &Received) {
                   handleMessage(Received, Out);
                 },
             },
             Incoming);
}

void HistoryService::requestTrace(const OperatorTraceRequest &Request,
                                  TimePoint Now, Effects &Out) {
  if (Request.Receiver_.isEmpty()) {
    Out.emplace_back(OperatorTraceResponse{
        Request.Query_,
        Error{ErrorCode::Invalid,
              "'" + Request.Request_.text() + "' is not a request id",
              "request_id"}});
    return;
  }
  if (Request.Receiver_ == Self_) {
    Out.emplace_back(OperatorTraceResponse{
        Request.Query_, History_.findSteps(Request.Request_)});
    return;
  }
  if (PendingRequests_.size() >= MaxPendingRequests) {
    Out.emplace_back(OperatorTraceResponse{
        Request.Query_, Error{ErrorCode::Unavailable,
                              "too many trace requests are pending",
                              {}}});
    return;
  }
  PendingRequests_[Request.Query_] =
      PendingRequest{Request.Receiver_, Now + AnswerTimeout};
  Out.emplace_back(SendToMember<TraceMessage>{
      Request.Receiver_, TraceRequest{Request.Query_, Request.Request_}});
}

void HistoryService::handleMessage(const FromMember<TraceMessage> &Received,
                                   Effects &Out) {
  if (const auto *Request = std::get_if<TraceRequest>(&Received.Message_)) {
    Out.emplace_back(SendToMember<TraceMessage>{
        Received.From_,
        TraceResponse{Request->Query_, History_.findSteps(Request->Request_)}});
    return;
  }
  const auto &Response = std::get<TraceResponse>(Received.Message_);
  if (PendingRequests_.erase(Response.Query_) > 0)
    Out.emplace_back(OperatorTraceResponse{Response.Query_, Response.Steps_});
}

void HistoryService::advance(TimePoint Now, Effects &Out) {
  for (auto Next = PendingRequests_.begin(); Next != PendingRequests_.end();) {
    if (Now < Next->second.ExpiresAt_) {
      ++Next;
      continue;
    }
    std::string Reason = "daemon " + Next->second.Receiver_.text() +
                         " received the request but does not answer; the "
                         "history of the request is lost if its VM was "
                         "terminated";
    Out.emplace_back(OperatorTraceResponse{
        Next->first, Error{ErrorCode::Unavailable, std::move(Reason), {}}});
    Next = PendingRequests_.erase(Next);
  }
}

std::optional<TimePoint> HistoryService::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Query, Pending] : PendingRequests_)
    if (!Earliest || Pending.ExpiresAt_ < *Earliest)
      Earliest = Pending.ExpiresAt_;
  return Earliest;
}

} // namespace jaybridge
