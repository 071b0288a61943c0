#include <LibLedger/ClaimCoordinator.h>

#include <algorithm>

namespace jaybridge {

namespace {

Refusal unknownRefusal(RefusalReason Reason, std::string Detail,
                       std::optional<Duration> RetryAfter = std::nullopt) {
  return Refusal{Outcome::Unknown, Reason, RetryAfter, std::move(Detail)};
}

bool isNotRun(const Answer &Final) {
  const auto *Refused = std::get_if<Refusal>(&Final);
  return Refused && Refused->Outcome_ == Outcome::NotRun;
}

} // namespace

Result<ClaimCoordinator>
ClaimCoordinator::create(ClaimCoordinatorSettings Settings) {
  std::set<MemberId> DistinctReplicas(Settings.Replicas_.begin(),
                                      Settings.Replicas_.end());
  if (DistinctReplicas.empty() ||
      DistinctReplicas.size() != Settings.Replicas_.size())
    return Error{ErrorCode::Invalid,
                 "the ledger needs at least one replica, and each may be "
                 "listed only once",
                 "replicas"};
  if (Settings.ResendInterval_ <= Duration::zero())
    return Error{ErrorCode::Invalid, "the resend interval must be above 0",
                 "resend-interval"};
  return ClaimCoordinator(std::move(Settings));
}

void ClaimCoordinator::handle(const Event &Incoming, TimePoint Now,
                              std::vector<Effect> &Effects) {
  std::visit(
      Overloaded{
          [&](const ClaimRequested &Request) { open(Request, Now, Effects); },
          [&](const ReleaseRequested &Request) {
            if (auto Found = findByRequest(Request.Request_);
                Found != Claims_.end())
              close(Found->first, Found->second,
                    Release{Found->second.Key_, claimIdOf(Found->first)}, Now,
                    Effects);
          },
          [&](const FinishRequested &Request) {
            auto Found = findByRequest(Request.Request_);
            if (Found == Claims_.end() ||
                Found->second.Phase_ != Phase::Granted)
              return;
            const auto &[Number, Granted] = *Found;
            if (isNotRun(Request.Answer_))
              close(Number, Found->second,
                    Release{Granted.Key_, claimIdOf(Number)}, Now, Effects);
            else
              close(Number, Found->second,
                    Finish{Granted.Key_, claimIdOf(Number),
                           Granted.Fingerprint_, Request.Answer_},
                    Now, Effects);
          },
          [&](const LedgerReplyReceived &Reply) {
            receive(Reply, Now, Effects);
          }},
      Incoming);
}

void ClaimCoordinator::open(const ClaimRequested &Request, TimePoint Now,
                            std::vector<Effect> &Effects) {
  auto Refuse = [&](Refusal Reason) {
    Counters_.Refused_ += EventCount(1);
    Effects.push_back(ClaimSettled{Request.Request_, std::move(Reason)});
  };
  if (NumberByRequest_.contains(Request.Request_))
    return;
  auto Key = IdempotencyKey::create(Request.Key_.text());
  if (!Key)
    return Refuse(Refusal{Outcome::NotRun, RefusalReason::KeyInvalid,
                          std::nullopt, Key.error().Message_});
  if (claimCount() >= Settings_.MaxClaimCount_) {
    Counters_.RefusedAtLimit_ += EventCount(1);
    return Refuse(unknownRefusal(RefusalReason::LedgerUnavailable,
                                 "too many claims are open at this gateway",
                                 Settings_.RetryAfter_));
  }
  if (Now >= Request.Deadline_)
    return Refuse(
        unknownRefusal(RefusalReason::LedgerUnavailable,
                       "the deadline passed before the key was claimed"));
  LastNumber_ = LastNumber_.next();
  ClaimState Opened{Request.Request_, Key.takeValue(), Request.Fingerprint_,
                    Request.Deadline_};
  Opened.CurrentInterval_ = Settings_.ResendInterval_;
  Opened.PhaseEndsAt_ =
      std::min(Request.Deadline_, Now + Settings_.ClaimTimeout_);
  auto [Added, IsNew] = Claims_.emplace(LastNumber_, std::move(Opened));
  NumberByRequest_.emplace(Request.Request_, LastNumber_);
  sendPendingMessages(Added->first, Added->second, Now, Effects);
}

void ClaimCoordinator::receive(const LedgerReplyReceived &Received,
                               TimePoint Now, std::vector<Effect> &Effects) {
  if (!isReplica(Received.Replica_))
    return;
  const ClaimId &Id =
      std::visit([](const auto &Reply) -> const ClaimId & { return Reply.Id_; },
                 Received.Reply_);
  auto Found = Claims_.find(Id.Number_);
  if (Found == Claims_.end() || Id != claimIdOf(Id.Number_))
    return;
  ClaimState &State = Found->second;
  if (const auto *Answered = std::get_if<ClaimReply>(&Received.Reply_)) {
    if (State.Phase_ != Phase::Claiming)
      return;
    auto &Verdict =
        State.Verdicts_.try_emplace(Received.Replica_, Answered->Verdict_)
            .first->second;
    if (!std::holds_alternative<ClaimAccepted>(Verdict))
      Verdict = Answered->Verdict_;
    decide(Found->first, State, Now, Effects);
    return;
  }
  if (State.Phase_ != Phase::Closing)
    return;
  State.ConfirmedBy_.insert(Received.Replica_);
  if (State.ConfirmedBy_.size() >= majority())
    erase(Found->first);
}

void ClaimCoordinator::decide(ClaimNumber Number, ClaimState &State,
                              TimePoint Now, std::vector<Effect> &Effects) {
  // A process that was paused may read the acceptances long after the caller
  // gave up.
  if (Now >= State.PhaseEndsAt_)
    return refuse(Number, State, answerWithoutMajority(State), Now, Effects);
  std::size_t Accepted = acceptedCount(State);
  if (Accepted >= majority()) {
    unschedule(Number, State);
    State.Phase_ = Phase::Granted;
    State.Verdicts_.clear();
    Counters_.Granted_ += EventCount(1);
    Effects.push_back(ClaimSettled{State.Request_, std::nullopt});
    return;
  }
  auto IsFinished = [](const auto &Entry) {
    return std::holds_alternative<ClaimFinished>(Entry.second);
  };
  std::size_t MissingReplies =
      Settings_.Replicas_.size() - State.Verdicts_.size();
  bool IsLost =
      std::any_of(State.Verdicts_.begin(), State.Verdicts_.end(), IsFinished) ||
      Accepted + MissingReplies < majority();
  if (IsLost && !hasPriorityInSplitVote(claimIdOf(Number), State))
    refuse(Number, State, answerWithoutMajority(State), Now, Effects);
}

/// Answer of a claim that has no majority. Verdicts take precedence in this
/// order: a stored answer or another request under the same key, a claim that
/// holds the key, replicas that abstained, missing replies.
Answer ClaimCoordinator::answerWithoutMajority(const ClaimState &State) const {
  std::optional<Refusal> Held;
  std::map<AbstainReason, std::size_t> Abstained;
  for (const auto &[Replica, Verdict] : State.Verdicts_) {
    Fingerprint KnownFingerprint = State.Fingerprint_;
    if (const auto *Finished = std::get_if<ClaimFinished>(&Verdict)) {
      if (Finished->Fingerprint_ == State.Fingerprint_)
        return Finished->Answer_;
      KnownFingerprint = Finished->Fingerprint_;
    }
    if (const auto *Holding = std::get_if<ClaimHeld>(&Verdict)) {
      KnownFingerprint = Holding->Fingerprint_;
      if (!Held || Holding->IsOverdue_)
        Held =
            Holding->IsOverdue_
                ? unknownRefusal(
                      RefusalReason::HomeLost,
                      "the gateway that claimed the key did not report "
                      "a result in time")
                : unknownRefusal(RefusalReason::InProgress,
                                 "another copy of the request is in progress",
                                 Settings_.RetryAfter_);
    }
    if (KnownFingerprint != State.Fingerprint_)
      return unknownRefusal(RefusalReason::KeyReused,
                            "the key was used with another request");
    if (const auto *Abstention = std::get_if<ClaimAbstained>(&Verdict))
      ++Abstained[Abstention->Reason_];
  }
  if (Held)
    return *Held;
  if (Abstained[AbstainReason::Expired] >= majority())
    return unknownRefusal(RefusalReason::KeyExpired,
                          "the key is older than the retention period");
  if (Abstained[AbstainReason::FromFuture] >= majority())
    return unknownRefusal(RefusalReason::KeyInvalid,
                          "the time in the key is too far in the future");
  return unknownRefusal(RefusalReason::LedgerUnavailable,
                        "no majority of the ledger's replicas could be reached",
                        Settings_.RetryAfter_);
}

/// When acceptances are split among several claims so that none has a majority,
/// the claim with the least id keeps its acceptances and is retried, while the
/// others are released. Otherwise none of them would be dispatched.
bool ClaimCoordinator::hasPriorityInSplitVote(const ClaimId &Own,
                                              const ClaimState &State) const {
  if (acceptedCount(State) == 0)
    return false;
  std::map<ClaimId, std::size_t> VotesByHolder;
  for (const auto &[Replica, Verdict] : State.Verdicts_) {
    if (std::holds_alternative<ClaimFinished>(Verdict))
      return false;
    const auto *Held = std::get_if<ClaimHeld>(&Verdict);
    if (!Held)
      continue;
    if (Held->IsOverdue_ || Held->Fingerprint_ != State.Fingerprint_ ||
        Held->Holder_ < Own || ++VotesByHolder[Held->Holder_] >= majority())
      return false;
  }
  return !VotesByHolder.empty();
}

void ClaimCoordinator::refuse(ClaimNumber Number, ClaimState &State,
                              Answer Reason, TimePoint Now,
                              std::vector<Effect> &Effects) {
  Counters_.Refused_ += EventCount(1);
  Effects.push_back(ClaimSettled{State.Request_, std::move(Reason)});
  close(Number, State, Release{State.Key_, claimIdOf(Number)}, Now, Effects);
}

void ClaimCoordinator::close(ClaimNumber Number, ClaimState &State,
                             LedgerRequest Message, TimePoint Now,
                             std::vector<Effect> &Effects) {
  unschedule(Number, State);
  NumberByRequest_.erase(State.Request_);
  State.Phase_ = Phase::Closing;
  State.Verdicts_.clear();
  State.ClosingMessage_ = std::move(Message);
  State.CurrentInterval_ = Settings_.ResendInterval_;
  State.PhaseEndsAt_ = Now + Settings_.Retention_;
  sendPendingMessages(Number, State, Now, Effects);
}

void ClaimCoordinator::sendPendingMessages(ClaimNumber Number,
                                           ClaimState &State, TimePoint Now,
                                           std::vector<Effect> &Effects) {
  for (const MemberId &Replica : Settings_.Replicas_) {
    if (State.Phase_ == Phase::Closing) {
      if (!State.ConfirmedBy_.contains(Replica))
        Effects.push_back(SendToReplica{Replica, *State.ClosingMessage_});
      continue;
    }
    auto Verdict = State.Verdicts_.find(Replica);
    if (Verdict == State.Verdicts_.end() ||
        !std::holds_alternative<ClaimAccepted>(Verdict->second))
      Effects.push_back(SendToReplica{
          Replica, Claim{State.Key_, claimIdOf(Number), State.Fingerprint_,
                         State.Deadline_ - Now}});
  }
  State.ResendAt_ = Now + State.CurrentInterval_;
  if (State.Phase_ == Phase::Closing)
    State.CurrentInterval_ =
        std::min(State.CurrentInterval_ * 2, Settings_.MaxResendInterval_);
  schedule(Number, State);
}

void ClaimCoordinator::advance(TimePoint Now, std::vector<Effect> &Effects) {
  while (!Timers_.empty() && Timers_.begin()->first <= Now) {
    ClaimNumber Number = Timers_.begin()->second;
    ClaimState &State = Claims_.at(Number);
    bool HasTimedOut = Now >= State.PhaseEndsAt_;
    if (HasTimedOut && State.Phase_ == Phase::Claiming) {
      refuse(Number, State, answerWithoutMajority(State), Now, Effects);
    } else if (HasTimedOut) {
      Counters_.ClosedUnconfirmed_ += EventCount(1);
      erase(Number);
    } else {
      unschedule(Number, State);
      sendPendingMessages(Number, State, Now, Effects);
    }
  }
}

std::optional<TimePoint> ClaimCoordinator::nextDeadline() const {
  if (Timers_.empty())
    return std::nullopt;
  return Timers_.begin()->first;
}

void ClaimCoordinator::schedule(ClaimNumber Number, const ClaimState &State) {
  Timers_.emplace(std::min(State.ResendAt_, State.PhaseEndsAt_), Number);
}

void ClaimCoordinator::unschedule(ClaimNumber Number, const ClaimState &State) {
  Timers_.erase({std::min(State.ResendAt_, State.PhaseEndsAt_), Number});
}

void ClaimCoordinator::erase(ClaimNumber Number) {
  auto Found = Claims_.find(Number);
  unschedule(Number, Found->second);
  Claims_.erase(Found);
}

ClaimCoordinator::Claims::iterator
ClaimCoordinator::findByRequest(const RequestId &Request) {
  auto Known = NumberByRequest_.find(Request);
  return Known == NumberByRequest_.end() ? Claims_.end()
                                         : Claims_.find(Known->second);
}

std::size_t ClaimCoordinator::acceptedCount(const ClaimState &State) const {
  return static_cast<std::size_t>(std::count_if(
      State.Verdicts_.begin(), State.Verdicts_.end(), [](const auto &Entry) {
        return std::holds_alternative<ClaimAccepted>(Entry.second);
      }));
}

bool ClaimCoordinator::isReplica(const MemberId &Member) const {
  return std::find(Settings_.Replicas_.begin(), Settings_.Replicas_.end(),
                   Member) != Settings_.Replicas_.end();
}

} // namespace jaybridge
