#include <LibControl/OperatorRequests.h>

#include <algorithm>

namespace jaybridge {

namespace {

QueryId queryOf(const OperatorRequests::Question &Asked) {
  return std::visit([](const auto &Each) { return Each.Query_; }, Asked);
}

ConfigurationEffect unanswered(const OperatorRequests::Question &Asked,
                               std::string Reason) {
  Error Unavailable{ErrorCode::Unavailable, std::move(Reason), {}};
  if (const auto *Change = std::get_if<OperatorChangeRequest>(&Asked))
    return OperatorChangeResponse{Change->Query_, std::move(Unavailable)};
  return OperatorCatalogResponse{queryOf(Asked), std::move(Unavailable)};
}

ConfigurationMessage messageFor(const OperatorRequests::Question &Asked) {
  if (const auto *Change = std::get_if<OperatorChangeRequest>(&Asked))
    return ChangeRequest{Change->Query_, Change->Change_};
  return CatalogRequest{queryOf(Asked)};
}

} // namespace

void OperatorRequests::ask(Question Asked, std::optional<MemberId> First,
                           TimePoint Now, Effects &Out) {
  if (ControlMembers_.empty() || Open_.size() >= GreatestCount) {
    Out.push_back(unanswered(Asked, ControlMembers_.empty()
                                        ? "no control member is known"
                                        : "too many questions are open"));
    return;
  }
  QueryId Query = queryOf(Asked);
  Open &Each = Open_[Query];
  Each.Question_ = std::move(Asked);
  Each.GivenUpAt_ = Now + AnswerLimit;
  // Spreads the first questions of a daemon over the control members.
  Each.NextMember_ = Query.value() % ControlMembers_.size();
  send(Each, std::move(First), Now, Out);
}

void OperatorRequests::send(Open &Each, std::optional<MemberId> To,
                            TimePoint Now, Effects &Out) {
  if (!To) {
    To = ControlMembers_[Each.NextMember_];
    Each.NextMember_ = (Each.NextMember_ + 1) % ControlMembers_.size();
  }
  Each.ResendAt_ = Now + ResendInterval;
  Out.emplace_back(SendToMember<ConfigurationMessage>{
      std::move(*To), messageFor(Each.Question_)});
}

bool OperatorRequests::isRedirected(QueryId Query,
                                    const std::optional<MemberId> &TryInstead,
                                    TimePoint Now, Effects &Out) {
  if (!TryInstead)
    return false;
  if (auto Found = Open_.find(Query); Found != Open_.end())
    send(Found->second, *TryInstead, Now, Out);
  return true;
}

void OperatorRequests::receive(const ChangeResponse &Decided, TimePoint Now,
                               Effects &Out) {
  if (isRedirected(Decided.Query_, Decided.LeaderHint_, Now, Out))
    return;
  // Without a leader the question stays open until it is sent again.
  bool IsFinal = Decided.Answer_.hasValue() ||
                 Decided.Answer_.error().Code_ != ErrorCode::Unavailable;
  if (IsFinal && Open_.erase(Decided.Query_) > 0)
    Out.emplace_back(OperatorChangeResponse{Decided.Query_, Decided.Answer_});
}

void OperatorRequests::receive(const CatalogResponse &Provided, TimePoint Now,
                               Effects &Out) {
  if (isRedirected(Provided.Query_, Provided.LeaderHint_, Now, Out))
    return;
  if (Provided.Answer_.hasValue() && Open_.erase(Provided.Query_) > 0)
    Out.emplace_back(
        OperatorCatalogResponse{Provided.Query_, Provided.Answer_});
}

void OperatorRequests::advance(TimePoint Now, Effects &Out) {
  for (auto Next = Open_.begin(); Next != Open_.end();) {
    Open &Each = Next->second;
    if (Each.GivenUpAt_ <= Now) {
      Out.push_back(unanswered(
          Each.Question_, "no control member answered; the outcome of a change "
                          "is unknown, resend it with the same request id"));
      Next = Open_.erase(Next);
      continue;
    }
    if (Each.ResendAt_ <= Now)
      send(Each, std::nullopt, Now, Out);
    ++Next;
  }
}

std::optional<TimePoint> OperatorRequests::nextDeadline() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Query, Each] : Open_) {
    TimePoint Due = std::min(Each.GivenUpAt_, Each.ResendAt_);
    if (!Earliest || Due < *Earliest)
      Earliest = Due;
  }
  return Earliest;
}

} // namespace jaybridge
