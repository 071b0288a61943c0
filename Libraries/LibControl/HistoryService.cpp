#include <LibControl/HistoryService.h>

namespace jaybridge {

void HistoryService::handle(const Event &Incoming, TimePoint Now,
                            Effects &Out) {
  std::visit(
      Overloaded{
          [&](const RecordStep &Step) { History_.record(Step, Now); },
          [&](const AuditEntry &Entry) { Trail_.append(Entry); },
          [&](const TraceAsked &Asked) { ask(Asked, Now, Out); },
          [&](const AuditAsked &Asked) {
            Out.emplace_back(
                AuditFound{Asked.Query_, Trail_.findEntries(Asked.Filter_)});
          },
          [&](const FromMember<TraceMessage> &Got) { receive(Got, Out); },
      },
      Incoming);
}

void HistoryService::ask(const TraceAsked &Asked, TimePoint Now, Effects &Out) {
  if (Asked.Receiver_.isEmpty()) {
    Out.emplace_back(TraceFound{
        Asked.Query_,
        Error{ErrorCode::Invalid,
              "'" + Asked.Request_.text() + "' is not an id of a request",
              "request_id"}});
    return;
  }
  if (Asked.Receiver_ == Self_) {
    Out.emplace_back(
        TraceFound{Asked.Query_, History_.findSteps(Asked.Request_)});
    return;
  }
  if (Open_.size() >= GreatestOpenCount) {
    Out.emplace_back(TraceFound{
        Asked.Query_,
        Error{ErrorCode::Unavailable, "too many questions are open", {}}});
    return;
  }
  Open_[Asked.Query_] = OpenQuestion{Asked.Receiver_, Now + AnswerLimit};
  Out.emplace_back(SendToMember<TraceMessage>{
      Asked.Receiver_, TraceForwarded{Asked.Query_, Asked.Request_}});
}

void HistoryService::receive(const FromMember<TraceMessage> &Got,
                             Effects &Out) {
  if (const auto *Forwarded = std::get_if<TraceForwarded>(&Got.Message_)) {
    Out.emplace_back(SendToMember<TraceMessage>{
        Got.From_, TraceProvided{Forwarded->Query_,
                                 History_.findSteps(Forwarded->Request_)}});
    return;
  }
  const auto &Provided = std::get<TraceProvided>(Got.Message_);
  if (Open_.erase(Provided.Query_) > 0)
    Out.emplace_back(TraceFound{Provided.Query_, Provided.Steps_});
}

void HistoryService::advance(TimePoint Now, Effects &Out) {
  for (auto Next = Open_.begin(); Next != Open_.end();) {
    if (Now < Next->second.GivenUpAt_) {
      ++Next;
      continue;
    }
    std::string Reason = "daemon " + Next->second.Receiver_.text() +
                         " received the request and does not answer; the "
                         "history is lost if its VM has ended";
    Out.emplace_back(TraceFound{
        Next->first, Error{ErrorCode::Unavailable, std::move(Reason), {}}});
    Next = Open_.erase(Next);
  }
}

std::optional<TimePoint> HistoryService::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Query, Question] : Open_)
    if (!Earliest || Question.GivenUpAt_ < *Earliest)
      Earliest = Question.GivenUpAt_;
  return Earliest;
}

} // namespace jaybridge
