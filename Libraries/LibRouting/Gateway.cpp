#include <LibRouting/Gateway.h>

namespace jaybridge {

namespace {

/// Time after which a refused caller may try again.
constexpr Duration RetryAfter = 1s;

Refusal refuse(Outcome Certainty, RefusalReason Reason,
               std::optional<Duration> After = std::nullopt) {
  return Refusal{Certainty, Reason, After, {}};
}

Answer answerOf(const AttemptOutcome &Ended) {
  switch (Ended.Result_) {
  case AttemptResult::Answered:
    return Ended.Response_;
  case AttemptResult::RefusedNotRun:
  case AttemptResult::ConnectFailed:
    return refuse(Outcome::NotRun, RefusalReason::UpstreamUnavailable,
                  RetryAfter);
  case AttemptResult::ConnectionLost:
    return refuse(Outcome::Unknown, RefusalReason::ConnectionLost);
  case AttemptResult::CutShort:
    return refuse(Outcome::Unknown, RefusalReason::AnswerCutShort);
  case AttemptResult::TooLarge:
    return refuse(Outcome::Ran, RefusalReason::AnswerTooLarge);
  case AttemptResult::TimedOut:
  case AttemptResult::Cancelled:
    return refuse(Outcome::Unknown, RefusalReason::UpstreamTimeout);
  }
  return refuse(Outcome::Unknown, RefusalReason::UpstreamUnavailable);
}

} // namespace

Result<Gateway> Gateway::create(GatewaySettings Settings, RandomSeed Seed) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "self must not be empty", "self"};
  if (Settings.GreatestRequests_ < EventCount(1))
    return Error{ErrorCode::Invalid, "greatest-requests must be at least 1",
                 "greatest-requests"};
  return Gateway(std::move(Settings), Seed);
}

void Gateway::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
}

void Gateway::advance(TimePoint Now, Effects &Out) {
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    RequestId Id = Deadlines_.begin()->second;
    Out.emplace_back(CancelAttempt{Requests_.at(Id).Attempt_});
    finish(Id, refuse(Outcome::Unknown, RefusalReason::UpstreamTimeout), Out);
  }
}

std::optional<TimePoint> Gateway::nextDeadline() const {
  if (Deadlines_.empty())
    return std::nullopt;
  return Deadlines_.begin()->first;
}

void Gateway::on(const RequestReceived &Incoming, TimePoint Now, Effects &Out) {
  const Request &Received = *Incoming.Request_;
  if (IsDraining_)
    return answer(Received.Id_,
                  refuse(Outcome::NotRun, RefusalReason::Draining, RetryAfter),
                  Out);
  auto Found = Services_.find(Received.Service_);
  if (Found == Services_.end() || !Found->second.Policy_)
    return answer(Received.Id_,
                  refuse(Outcome::NotRun, RefusalReason::UnknownService), Out);
  if (Requests_.size() >= Settings_.GreatestRequests_.value())
    return answer(
        Received.Id_,
        refuse(Outcome::NotRun, RefusalReason::Overloaded, RetryAfter), Out);
  const Profile &Rules = Found->second.Policy_->Profile_;
  TimePoint Deadline = Received.Deadline_.value_or(Now + Rules.patience());
  if (Deadline <= Now)
    return answer(Received.Id_,
                  refuse(Outcome::NotRun, RefusalReason::DeadlinePassed), Out);
  const InstanceRecord *Instance = selectInstance(Found->second);
  if (!Instance)
    return answer(
        Received.Id_,
        refuse(Outcome::NotRun, RefusalReason::NoInstance, RetryAfter), Out);
  dispatch(*Instance, Execution{Incoming.Request_, Deadline, {}, {}}, Out);
}

void Gateway::on(const CallerGone &Incoming, TimePoint /*Now*/, Effects &Out) {
  auto Found = Requests_.find(Incoming.Id_);
  if (Found == Requests_.end())
    return;
  Out.emplace_back(CancelAttempt{Found->second.Attempt_});
  finish(Incoming.Id_, refuse(Outcome::Unknown, RefusalReason::CallerGone),
         Out);
}

void Gateway::on(const AttemptFinished &Incoming, TimePoint /*Now*/,
                 Effects &Out) {
  auto Found = Attempts_.find(Incoming.Attempt_);
  if (Found == Attempts_.end())
    return;
  const Execution &Running = Requests_.at(Found->second);
  const AttemptOutcome &Ended = Incoming.Outcome_;
  Out.emplace_back(ObserveAttempt{Running.Request_->Service_, Running.Instance_,
                                  Ended.Result_, Ended.Response_.Status_,
                                  Ended.Elapsed_,
                                  fingerprintOf(*Running.Request_)});
  RequestId Id = Found->second;
  finish(Id, answerOf(Ended), Out);
}

void Gateway::on(const CatalogChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  if (Incoming.Version_ < Version_)
    return;
  Version_ = Incoming.Version_;
  for (auto &[Name, Known] : Services_)
    Known.Policy_.reset();
  for (const ServicePolicy &Policy : Incoming.Policies_)
    Services_[Policy.Service_].Policy_ = Policy;
}

void Gateway::on(const InstanceChanged &Incoming, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  const InstanceRecord &Record = Incoming.Record_;
  auto &Instances = Services_[Record.Service_].Instances_;
  auto [Position, IsNew] = Instances.try_emplace(Record.Id_, Record);
  if (!IsNew && std::pair(Position->second.Version_, Position->second.State_) <
                    std::pair(Record.Version_, Record.State_))
    Position->second = Record;
}

void Gateway::on(const DrainStarted & /*Incoming*/, TimePoint /*Now*/,
                 Effects & /*Out*/) {
  IsDraining_ = true;
}

const InstanceRecord *Gateway::selectInstance(const Service &Chosen) {
  std::vector<const InstanceRecord *> Serving;
  for (const auto &[Id, Record] : Chosen.Instances_)
    if (Record.State_ == InstanceState::Serving)
      Serving.push_back(&Record);
  return Serving.empty() ? nullptr : Serving[Random_.below(Serving.size())];
}

void Gateway::dispatch(const InstanceRecord &Instance, Execution Started,
                       Effects &Out) {
  LastAttempt_ = LastAttempt_.next();
  Started.Attempt_ = LastAttempt_;
  Started.Instance_ = Instance.Id_;
  RequestId Id = Started.Request_->Id_;
  Attempts_.emplace(LastAttempt_, Id);
  Deadlines_.emplace(Started.Deadline_, Id);
  Out.emplace_back(SendAttempt{LastAttempt_, Instance.Id_, Instance.Address_,
                               Started.Request_, Started.Deadline_});
  Out.emplace_back(RecordStep{Id,
                              StepKind::Dispatched,
                              Started.Request_->Service_,
                              Version_,
                              Instance.Id_,
                              Instance.Domain_,
                              {}});
  Requests_.emplace(std::move(Id), std::move(Started));
}

void Gateway::answer(const RequestId &Id, Answer Final, Effects &Out) {
  Out.emplace_back(AnswerCaller{Id, std::move(Final), Version_});
}

void Gateway::finish(const RequestId &Id, Answer Final, Effects &Out) {
  auto Found = Requests_.find(Id);
  Attempts_.erase(Found->second.Attempt_);
  Deadlines_.erase({Found->second.Deadline_, Id});
  answer(Id, std::move(Final), Out);
  Requests_.erase(Found);
}

} // namespace jaybridge
