#include <LibControl/OperatorRequests.h>

#include <algorithm>

namespace jaybridge {

namespace {

QueryId queryIdOf(const OperatorRequests::OperatorRequest &Request) {
  return std::visit([](const auto &Alternative) { return Alternative.Query_; },
                    Request);
}

ConfigurationEffect
makeUnavailableResponse(const OperatorRequests::OperatorRequest &Request,
                        std::string Reason) {
  Error Unavailable{ErrorCode::Unavailable, std::move(Reason), {}};
  if (const auto *Change = std::get_if<OperatorChangeRequest>(&Request))
    return OperatorChangeResponse{Change->Query_, std::move(Unavailable)};
  return OperatorCatalogResponse{queryIdOf(Request), std::move(Unavailable)};
}

ConfigurationMessage
makeMessage(const OperatorRequests::OperatorRequest &Request) {
  if (const auto *Change = std::get_if<OperatorChangeRequest>(&Request))
    return ChangeRequest{Change->Query_, Change->Change_};
  return CatalogRequest{queryIdOf(Request)};
}

} // namespace

void OperatorRequests::submit(OperatorRequest Request,
                              std::optional<MemberId> FirstMember,
                              TimePoint Now, Effects &Out) {
  if (ControlMembers_.empty() ||
      PendingRequests_.size() >= MaxPendingRequests) {
    Out.push_back(makeUnavailableResponse(
        Request, ControlMembers_.empty()
                     ? "no control member is known"
                     : "too many operator requests are pending"));
    return;
  }
  QueryId Query = queryIdOf(Request);
  PendingRequest &Pending = PendingRequests_[Query];
  Pending.Request_ = std::move(Request);
  Pending.ExpiresAt_ = Now + AnswerTimeout;
  // Distributes the requests over the control members by their first receiver.
  Pending.NextMember_ = Query.value() % ControlMembers_.size();
  send(Pending, std::move(FirstMember), Now, Out);
}

void OperatorRequests::send(PendingRequest &Pending, std::optional<MemberId> To,
                            TimePoint Now, Effects &Out) {
  if (!To) {
    To = ControlMembers_[Pending.NextMember_];
    Pending.NextMember_ = (Pending.NextMember_ + 1) % ControlMembers_.size();
  }
  Pending.ResendAt_ = Now + ResendInterval;
  Out.emplace_back(SendToMember<ConfigurationMessage>{
      std::move(*To), makeMessage(Pending.Request_)});
}

bool OperatorRequests::followLeaderHint(
    QueryId Query, const std::optional<MemberId> &LeaderHint, TimePoint Now,
    Effects &Out) {
  if (!LeaderHint)
    return false;
  if (auto Found = PendingRequests_.find(Query);
      Found != PendingRequests_.end())
    send(Found->second, *LeaderHint, Now, Out);
  return true;
}

void OperatorRequests::receive(const ChangeResponse &Response, TimePoint Now,
                               Effects &Out) {
  if (followLeaderHint(Response.Query_, Response.LeaderHint_, Now, Out))
    return;
  // `Unavailable` without a hint is not final: no leader is known, or the
  // change was appended but may not be committed. The request stays pending and
  // is sent to the next member after ResendInterval.
  bool IsFinal = Response.Answer_.hasValue() ||
                 Response.Answer_.error().Code_ != ErrorCode::Unavailable;
  if (IsFinal && PendingRequests_.erase(Response.Query_) > 0)
    Out.emplace_back(OperatorChangeResponse{Response.Query_, Response.Answer_});
}

void OperatorRequests::receive(const CatalogResponse &Response, TimePoint Now,
                               Effects &Out) {
  if (followLeaderHint(Response.Query_, Response.LeaderHint_, Now, Out))
    return;
  if (Response.Answer_.hasValue() &&
      PendingRequests_.erase(Response.Query_) > 0)
    Out.emplace_back(
        OperatorCatalogResponse{Response.Query_, Response.Answer_});
}

void OperatorRequests::advance(TimePoint Now, Effects &Out) {
  for (auto Next = PendingRequests_.begin(); Next != PendingRequests_.end();) {
    PendingRequest &Pending = Next->second;
    if (Pending.ExpiresAt_ <= Now) {
      Out.push_back(makeUnavailableResponse(
          Pending.Request_,
          "no control member answered in time; the outcome of a "
          "change is unknown, resend it with the same request "
          "id"));
      Next = PendingRequests_.erase(Next);
      continue;
    }
    if (Pending.ResendAt_ <= Now)
      send(Pending, std::nullopt, Now, Out);
    ++Next;
  }
}

std::optional<TimePoint> OperatorRequests::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Query, Pending] : PendingRequests_) {
    TimePoint Due = std::min(Pending.ExpiresAt_, Pending.ResendAt_);
    if (!Earliest || Due < *Earliest)
      Earliest = Due;
  }
  return Earliest;
}

} // namespace jaybridge
