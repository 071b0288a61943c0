#include <LibLedger/ClaimCoordinator.h>

#include <algorithm>

namespace jaybridge {

namespace {

Refusal unknown(RefusalReason Reason, std::string Detail,
                std::optional<Duration> RetryAfter = std::nullopt) {
  return Refusal{Outcome::Unknown, Reason, RetryAfter, std::move(Detail)};
}

bool isNotRun(const Answer &Ended) {
  const auto *Refused = std::get_if<Refusal>(&Ended);
  return Refused && Refused->Outcome_ == Outcome::NotRun;
}

} // namespace

Result<ClaimCoordinator>
ClaimCoordinator::create(ClaimCoordinatorSettings Settings) {
  std::set<MemberId> Distinct(Settings.Replicas_.begin(),
                              Settings.Replicas_.end());
  if (Distinct.empty() || Distinct.size() != Settings.Replicas_.size())
    return Error{ErrorCode::Invalid,
                 "the ledger needs at least one replica, each named once",
                 "replicas"};
  if (Settings.ResendInterval_ <= Duration::zero())
    return Error{ErrorCode::Invalid, "the resend interval must be above 0",
                 "resend-interval"};
  return ClaimCoordinator(std::move(Settings));
}

void ClaimCoordinator::handle(const Event &Received, TimePoint Now,
                              std::vector<Effect> &Effects) {
  std::visit(
      Overloaded{[&](const ClaimRequested &Each) { open(Each, Now, Effects); },
                 [&](const ReleaseRequested &Each) {
                   if (auto Found = findOpen(Each.Request_);
                       Found != Claims_.end())
                     close(Found->first, Found->second,
                           Release{Found->second.Key_, idOf(Found->first)}, Now,
                           Effects);
                 },
                 [&](const FinishRequested &Each) {
                   auto Found = findOpen(Each.Request_);
                   if (Found == Claims_.end() ||
                       Found->second.Phase_ != Phase::Granted)
                     return;
                   const auto &[Number, Granted] = *Found;
                   if (isNotRun(Each.Answer_))
                     close(Number, Found->second,
                           Release{Granted.Key_, idOf(Number)}, Now, Effects);
                   else
                     close(Number, Found->second,
                           Finish{Granted.Key_, idOf(Number),
                                  Granted.Fingerprint_, Each.Answer_},
                           Now, Effects);
                 },
                 [&](const LedgerReplyReceived &Each) {
                   receive(Each, Now, Effects);
                 }},
      Received);
}

void ClaimCoordinator::open(const ClaimRequested &Asked, TimePoint Now,
                            std::vector<Effect> &Effects) {
  auto Refuse = [&](Refusal Reason) {
    Counters_.Refused_ += EventCount(1);
    Effects.push_back(ClaimSettled{Asked.Request_, std::move(Reason)});
  };
  if (ByRequest_.contains(Asked.Request_))
    return;
  auto Key = IdempotencyKey::create(Asked.Key_.text());
  if (!Key)
    return Refuse(Refusal{Outcome::NotRun, RefusalReason::KeyInvalid,
                          std::nullopt, Key.error().Message_});
  if (claimCount() >= Settings_.GreatestClaimCount_) {
    Counters_.RefusedFull_ += EventCount(1);
    return Refuse(unknown(RefusalReason::LedgerUnavailable,
                          "too many claims are open at this gateway",
                          Settings_.RetryAfter_));
  }
  if (Now >= Asked.Deadline_)
    return Refuse(unknown(RefusalReason::LedgerUnavailable,
                          "the deadline passed before the key was claimed"));
  Last_ = Last_.next();
  OpenClaim Opened{Asked.Request_, Key.takeValue(), Asked.Fingerprint_,
                   Asked.Deadline_};
  Opened.Interval_ = Settings_.ResendInterval_;
  Opened.EndsAt_ = std::min(Asked.Deadline_, Now + Settings_.ClaimTimeout_);
  auto [Added, IsNew] = Claims_.emplace(Last_, std::move(Opened));
  ByRequest_.emplace(Asked.Request_, Last_);
  sendOpenMessages(Added->first, Added->second, Now, Effects);
}

void ClaimCoordinator::receive(const LedgerReplyReceived &Received,
                               TimePoint Now, std::vector<Effect> &Effects) {
  if (!isReplica(Received.Replica_))
    return;
  const ClaimId &Id =
      std::visit([](const auto &Each) -> const ClaimId & { return Each.Id_; },
                 Received.Reply_);
  auto Found = Claims_.find(Id.Number_);
  if (Found == Claims_.end() || Id != idOf(Id.Number_))
    return;
  OpenClaim &Each = Found->second;
  if (const auto *Answered = std::get_if<ClaimReply>(&Received.Reply_)) {
    if (Each.Phase_ != Phase::Asking)
      return;
    auto &Verdict =
        Each.Verdicts_.try_emplace(Received.Replica_, Answered->Verdict_)
            .first->second;
    if (!std::holds_alternative<ClaimAccepted>(Verdict))
      Verdict = Answered->Verdict_;
    decide(Found->first, Each, Now, Effects);
    return;
  }
  if (Each.Phase_ != Phase::Closing)
    return;
  Each.Confirmed_.insert(Received.Replica_);
  if (Each.Confirmed_.size() >= majority())
    erase(Found->first);
}

void ClaimCoordinator::decide(ClaimNumber Number, OpenClaim &Each,
                              TimePoint Now, std::vector<Effect> &Effects) {
  // A frozen process may read the acceptances long after the caller gave up.
  if (Now >= Each.EndsAt_)
    return refuse(Number, Each, answerOnFailure(Each), Now, Effects);
  std::size_t Accepted = acceptedCount(Each);
  if (Accepted >= majority()) {
    unschedule(Number, Each);
    Each.Phase_ = Phase::Granted;
    Each.Verdicts_.clear();
    Counters_.Granted_ += EventCount(1);
    Effects.push_back(ClaimSettled{Each.Request_, std::nullopt});
    return;
  }
  auto IsFinished = [](const auto &Entry) {
    return std::holds_alternative<ClaimFinished>(Entry.second);
  };
  std::size_t Silent = Settings_.Replicas_.size() - Each.Verdicts_.size();
  bool IsSettled =
      std::any_of(Each.Verdicts_.begin(), Each.Verdicts_.end(), IsFinished) ||
      Accepted + Silent < majority();
  if (IsSettled && !isFirstOfSplitVote(idOf(Number), Each))
    refuse(Number, Each, answerOnFailure(Each), Now, Effects);
}

/// The answer of a claim without a majority, by the strongest evidence.
Answer ClaimCoordinator::answerOnFailure(const OpenClaim &Each) const {
  std::optional<Refusal> Held;
  std::map<AbstainReason, std::size_t> Abstained;
  for (const auto &[Replica, Verdict] : Each.Verdicts_) {
    Fingerprint Other = Each.Fingerprint_;
    if (const auto *Finished = std::get_if<ClaimFinished>(&Verdict)) {
      if (Finished->Fingerprint_ == Each.Fingerprint_)
        return Finished->Answer_;
      Other = Finished->Fingerprint_;
    }
    if (const auto *Holding = std::get_if<ClaimHeld>(&Verdict)) {
      Other = Holding->Fingerprint_;
      if (!Held || Holding->IsOverdue_)
        Held = Holding->IsOverdue_
                   ? unknown(RefusalReason::HomeLost,
                             "the gateway that claimed the key is silent")
                   : unknown(RefusalReason::InProgress,
                             "another copy of the request is in progress",
                             Settings_.RetryAfter_);
    }
    if (Other != Each.Fingerprint_)
      return unknown(RefusalReason::KeyReused,
                     "the key was used with another request");
    if (const auto *Without = std::get_if<ClaimAbstained>(&Verdict))
      ++Abstained[Without->Reason_];
  }
  if (Held)
    return *Held;
  if (Abstained[AbstainReason::Expired] >= majority())
    return unknown(RefusalReason::KeyExpired,
                   "the key is older than the time for which keys are kept");
  if (Abstained[AbstainReason::FromFuture] >= majority())
    return unknown(RefusalReason::KeyInvalid,
                   "the time in the key is too far in the future");
  return unknown(RefusalReason::LedgerUnavailable,
                 "no majority of the ledger's replicas could be reached",
                 Settings_.RetryAfter_);
}

/// Of several claims without a majority the least keeps its acceptances and
/// asks again, while the others are released; otherwise none would run.
bool ClaimCoordinator::isFirstOfSplitVote(const ClaimId &Own,
                                          const OpenClaim &Each) const {
  if (acceptedCount(Each) == 0)
    return false;
  std::map<ClaimId, std::size_t> Votes;
  for (const auto &[Replica, Verdict] : Each.Verdicts_) {
    if (std::holds_alternative<ClaimFinished>(Verdict))
      return false;
    const auto *Held = std::get_if<ClaimHeld>(&Verdict);
    if (!Held)
      continue;
    if (Held->IsOverdue_ || Held->Fingerprint_ != Each.Fingerprint_ ||
        Held->Holder_ < Own || ++Votes[Held->Holder_] >= majority())
      return false;
  }
  return !Votes.empty();
}

void ClaimCoordinator::refuse(ClaimNumber Number, OpenClaim &Each,
                              Answer Reason, TimePoint Now,
                              std::vector<Effect> &Effects) {
  Counters_.Refused_ += EventCount(1);
  Effects.push_back(ClaimSettled{Each.Request_, std::move(Reason)});
  close(Number, Each, Release{Each.Key_, idOf(Number)}, Now, Effects);
}

void ClaimCoordinator::close(ClaimNumber Number, OpenClaim &Each,
                             LedgerRequest Message, TimePoint Now,
                             std::vector<Effect> &Effects) {
  unschedule(Number, Each);
  ByRequest_.erase(Each.Request_);
  Each.Phase_ = Phase::Closing;
  Each.Verdicts_.clear();
  Each.Closing_ = std::move(Message);
  Each.Interval_ = Settings_.ResendInterval_;
  Each.EndsAt_ = Now + Settings_.Retention_;
  sendOpenMessages(Number, Each, Now, Effects);
}

void ClaimCoordinator::sendOpenMessages(ClaimNumber Number, OpenClaim &Each,
                                        TimePoint Now,
                                        std::vector<Effect> &Effects) {
  for (const MemberId &Replica : Settings_.Replicas_) {
    if (Each.Phase_ == Phase::Closing) {
      if (!Each.Confirmed_.contains(Replica))
        Effects.push_back(SendToReplica{Replica, *Each.Closing_});
      continue;
    }
    auto Known = Each.Verdicts_.find(Replica);
    if (Known == Each.Verdicts_.end() ||
        !std::holds_alternative<ClaimAccepted>(Known->second))
      Effects.push_back(SendToReplica{Replica, Claim{Each.Key_, idOf(Number),
                                                     Each.Fingerprint_,
                                                     Each.Deadline_ - Now}});
  }
  Each.ResendAt_ = Now + Each.Interval_;
  if (Each.Phase_ == Phase::Closing)
    Each.Interval_ =
        std::min(Each.Interval_ * 2, Settings_.GreatestResendInterval_);
  schedule(Number, Each);
}

void ClaimCoordinator::advance(TimePoint Now, std::vector<Effect> &Effects) {
  while (!Timers_.empty() && Timers_.begin()->first <= Now) {
    ClaimNumber Number = Timers_.begin()->second;
    OpenClaim &Each = Claims_.at(Number);
    bool IsOver = Now >= Each.EndsAt_;
    if (IsOver && Each.Phase_ == Phase::Asking) {
      refuse(Number, Each, answerOnFailure(Each), Now, Effects);
    } else if (IsOver) {
      Counters_.Unconfirmed_ += EventCount(1);
      erase(Number);
    } else {
      unschedule(Number, Each);
      sendOpenMessages(Number, Each, Now, Effects);
    }
  }
}

std::optional<TimePoint> ClaimCoordinator::nextDeadline() const {
  if (Timers_.empty())
    return std::nullopt;
  return Timers_.begin()->first;
}

void ClaimCoordinator::schedule(ClaimNumber Number, const OpenClaim &Each) {
  Timers_.emplace(std::min(Each.ResendAt_, Each.EndsAt_), Number);
}

void ClaimCoordinator::unschedule(ClaimNumber Number, const OpenClaim &Each) {
  Timers_.erase({std::min(Each.ResendAt_, Each.EndsAt_), Number});
}

void ClaimCoordinator::erase(ClaimNumber Number) {
  auto Found = Claims_.find(Number);
  unschedule(Number, Found->second);
  Claims_.erase(Found);
}

ClaimCoordinator::Claims::iterator
ClaimCoordinator::findOpen(const RequestId &Request) {
  auto Known = ByRequest_.find(Request);
  return Known == ByRequest_.end() ? Claims_.end()
                                   : Claims_.find(Known->second);
}

std::size_t ClaimCoordinator::acceptedCount(const OpenClaim &Each) const {
  return static_cast<std::size_t>(std::count_if(
      Each.Verdicts_.begin(), Each.Verdicts_.end(), [](const auto &Entry) {
        return std::holds_alternative<ClaimAccepted>(Entry.second);
      }));
}

bool ClaimCoordinator::isReplica(const MemberId &Member) const {
  return std::find(Settings_.Replicas_.begin(), Settings_.Replicas_.end(),
                   Member) != Settings_.Replicas_.end();
}

} // namespace jaybridge
