#include <LibRegistry/RegistrySubscription.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

namespace {

/// Time for which ejections apply unless a heartbeat renews them.
constexpr Duration EjectionLifetime = 3s;

/// Maximum lost requests in a report; more of them say nothing more about
/// single requests.
constexpr std::size_t MaxLostRequests = 256;

bool contains(const std::vector<Fingerprint> &List, Fingerprint Request) {
  return std::find(List.begin(), List.end(), Request) != List.end();
}

/// Counts the outcome of one attempt, or nothing if the outcome doesn't
/// indicate the health of the instance.
AttemptCounts countAttempt(const ReportAttempt &Attempt) {
  AttemptCounts Counts;
  Counts.Id_ = Attempt.Instance_;
  constexpr EventCount One(1);
  bool IsAnswered = false;
  switch (Attempt.Result_) {
  case AttemptResult::Answered:
    IsAnswered = true;
    Counts.ServiceTime_ = Attempt.Elapsed_;
    (Attempt.Status_ >= MinServerErrorStatus ? Counts.Errors_
                                             : Counts.Successes_) = One;
    break;
  case AttemptResult::ConnectFailed:
    Counts.Unreachable_ = One;
    break;
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
  case AttemptResult::TimedOut:
    Counts.Lost_ = One;
    break;
  case AttemptResult::RefusedNotRun:
  case AttemptResult::ResponseTooLarge:
  case AttemptResult::Cancelled:
    break;
  }
  if (Attempt.WasOverdue_)
    (IsAnswered ? Counts.AnsweredLate_ : Counts.NeverAnswered_) = One;
  return Counts;
}

} // namespace

std::optional<TimePoint> RegistrySubscriptionState::nextDeadline() const {
  TimePoint Next = std::min(SwitchMemberAt_, NextRenewal_);
  if (NextReport_)
    Next = std::min(Next, *NextReport_);
  return Next;
}

void RegistrySubscriptionState::advance(TimePoint Now, Effects &Out) {
  if (Now >= SwitchMemberAt_) {
    switchMember(Now, Out);
  } else if (Now >= NextRenewal_ && IsConfirmed_ && hasNearerMember(Now)) {
    FollowDuration_ =
        std::min(2 * FollowDuration_, Settings_.MaxFollowDuration_);
    switchMember(Now, Out);
  } else if (Now >= NextRenewal_) {
    subscribe(Now, Out, IsConfirmed_);
  }
  if (NextReport_ && Now >= *NextReport_)
    sendReport(Out);
}

std::size_t
RegistrySubscriptionState::commonPrefixParts(const MemberId &Member) const {
  const std::string &Own = Settings_.Self_.address();
  const std::string &Theirs = Member.text();
  std::size_t Shorter = std::min(Own.size(), Theirs.size());
  auto [End, Ignored] = std::mismatch(
      Own.begin(), Own.begin() + static_cast<long>(Shorter), Theirs.begin());
  // Counts the dots of the common prefix, so that partly equal numbers do not
  // count.
  return static_cast<std::size_t>(std::count(Own.begin(), End, '.'));
}

std::vector<MemberId> RegistrySubscriptionState::candidates() {
  std::vector<MemberId> Near;
  std::vector<MemberId> Far;
  for (const ControlMember &Member : Members_)
    (Member.Domain_ == Settings_.Domain_ ? Near : Far).push_back(Member.Id_);
  for (const MemberId &Seed : Settings_.Seeds_)
    if (std::find(Near.begin(), Near.end(), Seed) == Near.end() &&
        std::find(Far.begin(), Far.end(), Seed) == Far.end())
      Far.push_back(Seed);
  auto Shuffle = [this](std::vector<MemberId> &List) {
    for (std::size_t Size = List.size(); Size > 1; --Size)
      std::swap(List[Size - 1], List[Random_.below(Size)]);
  };
  Shuffle(Near);
  Shuffle(Far);
  std::stable_sort(Far.begin(), Far.end(),
                   [this](const MemberId &Left, const MemberId &Right) {
                     return commonPrefixParts(Left) > commonPrefixParts(Right);
                   });
  Near.insert(Near.end(), Far.begin(), Far.end());
  // Candidates are taken from the back.
  std::reverse(Near.begin(), Near.end());
  return Near;
}

void RegistrySubscriptionState::switchMember(TimePoint Now, Effects &Out) {
  if (IsConfirmed_) {
    IsConfirmed_ = false;
    Out.emplace_back(ControlMemberChanged{});
  }
  std::optional<MemberId> Previous = FollowedMember_;
  FollowedMember_.reset();
  if (Candidates_.empty())
    Candidates_ = candidates();
  if (Candidates_.size() > 1 && Candidates_.back() == Previous)
    std::swap(Candidates_.back(), Candidates_.front());
  if (!Candidates_.empty()) {
    FollowedMember_ = Candidates_.back();
    Candidates_.pop_back();
  }
  SwitchMemberAt_ =
      Now + (HasEverBeenConfirmed_ ? Settings_.MemberTimeout_ / 2
                                   : Settings_.FirstResponseTimeout_);
  subscribe(Now, Out);
}

void RegistrySubscriptionState::resynchronize(TimePoint Now, Effects &Out) {
  if (Now < NextResynchronization_)
    return;
  NextResynchronization_ = Now + Settings_.ResynchronizeInterval_;
  subscribe(Now, Out);
}

void RegistrySubscriptionState::subscribe(TimePoint Now, Effects &Out,
                                          bool IsRenewal) {
  NextRenewal_ = Now + Settings_.RenewInterval_;
  if (FollowedMember_)
    Out.emplace_back(SendSubscription{
        *FollowedMember_,
        SubscribeRequest{Revision_, Version_, digestOf(Members_),
                         Ejections_.digest(), IsRenewal}});
}

bool RegistrySubscriptionState::isNear(const MemberId &Member) const {
  return std::any_of(
      Members_.begin(), Members_.end(), [&](const ControlMember &Known) {
        return Known.Id_ == Member && Known.Domain_ == Settings_.Domain_;
      });
}

bool RegistrySubscriptionState::hasNearerMember(TimePoint Now) const {
  if (Now < ConfirmedAt_ + FollowDuration_ || !FollowedMember_ ||
      isNear(*FollowedMember_))
    return false;
  return std::any_of(Members_.begin(), Members_.end(),
                     [&](const ControlMember &Known) {
                       return Known.Domain_ == Settings_.Domain_;
                     });
}

void RegistrySubscriptionState::confirmMember(const MemberId &From,
                                              TimePoint Now, Effects &Out) {
  SwitchMemberAt_ = Now + Settings_.MemberTimeout_;
  HasEverBeenConfirmed_ = true;
  Candidates_.clear();
  if (isNear(From))
    FollowDuration_ = Settings_.MinFollowDuration_;
  if (IsConfirmed_)
    return;
  IsConfirmed_ = true;
  ConfirmedAt_ = Now;
  Out.emplace_back(ControlMemberChanged{From});
}

bool RegistrySubscriptionState::continues(const RegistryUpdate &Update) const {
  if (!Update.BaseRevision_ || *Update.BaseRevision_ == Revision_)
    return true;
  // The answer to a request may repeat changes that arrived in the meantime.
  // Records and documents are whole, so that applying them twice is harmless.
  return *Update.BaseRevision_ < Revision_ && !Update.Delta_;
}

bool RegistrySubscriptionState::acceptUpdate(const MemberId &From,
                                             const RegistryUpdate &Update,
                                             TimePoint Now, Effects &Out) {
  // A previously followed member may have older data than the present one.
  // While no member is confirmed, the first one that sends a full update is
  // followed.
  if (FollowedMember_ != From && (IsConfirmed_ || Update.BaseRevision_))
    return false;
  FollowedMember_ = From;
  if (Update.Revision_ < Revision_ || !continues(Update)) {
    resynchronize(Now, Out);
    return false;
  }
  confirmMember(From, Now, Out);
  Revision_ = Update.Revision_;
  return true;
}

void RegistrySubscriptionState::applyInstances(const RegistryUpdate &Update,
                                               Effects &Out) {
  if (!Update.Members_.empty())
    Members_ = Update.Members_;
  if (!Update.BaseRevision_) {
    std::set<InstanceId> Listed;
    for (const InstanceRecord &Record : Update.Instances_)
      Listed.insert(Record.Id_);
    std::erase_if(Instances_, [&](const auto &Entry) {
      if (Listed.contains(Entry.first))
        return false;
      InstanceRecord Removed = Entry.second;
      Removed.State_ = InstanceState::Left;
      Out.emplace_back(InstanceChanged{std::move(Removed)});
      return true;
    });
  }
  for (const InstanceRecord &Record : Update.Instances_) {
    if (Record.State_ == InstanceState::Left)
      Instances_.erase(Record.Id_);
    else if (auto Known = Instances_.find(Record.Id_);
             Known != Instances_.end() && Known->second == Record)
      continue;
    else
      Instances_.insert_or_assign(Record.Id_, Record);
    Out.emplace_back(InstanceChanged{Record});
  }
}

void RegistrySubscriptionState::handleHeartbeat(
    const MemberId &From, const RegistryHeartbeat &Heartbeat, TimePoint Now,
    Effects &Out) {
  if (FollowedMember_ != From)
    return;
  if (Heartbeat.Revision_ != Revision_)
    return resynchronize(Now, Out);
  confirmMember(From, Now, Out);
  if (!Heartbeat.Members_.empty())
    Members_ = Heartbeat.Members_;
  if (!Ejections_.apply(Heartbeat.Ejections_))
    resynchronize(Now, Out);
  renewEjections(Now, Out);
  applyVerdicts(Heartbeat.Requests_, Now, Out);
}

void RegistrySubscriptionState::handleConnectionLost(const MemberId &Member,
                                                     TimePoint Now,
                                                     Effects &Out) {
  if (FollowedMember_ != Member || Now < NextReconnection_)
    return;
  NextReconnection_ = Now + Settings_.ReconnectInterval_;
  subscribe(Now, Out);
}

void RegistrySubscriptionState::handleStale(const MemberId &From, TimePoint Now,
                                            Effects &Out) {
  // A gateway without any data stays with its member: each member that it
  // subscribed to would send it the whole registry. When none of the candidates
  // is current, the gateway retries after the timeout.
  if (FollowedMember_ == From && HasEverBeenConfirmed_ &&
      (IsConfirmed_ || !Candidates_.empty()))
    switchMember(Now, Out);
}

void RegistrySubscriptionState::requestFullUpdate(TimePoint Now, Effects &Out) {
  Revision_ = LogIndex();
  resynchronize(Now, Out);
}

void RegistrySubscriptionState::renewEjections(TimePoint Now, Effects &Out) {
  std::map<ServiceName, std::vector<InstanceId>> ByService;
  for (const InstanceId &Id : Ejections_.instances())
    if (auto Known = Instances_.find(Id); Known != Instances_.end())
      ByService[Known->second.Service_].push_back(Id);
  // A service whose last ejection ended is sent once, with an empty list.
  for (const ServiceName &Name : ServicesWithEjections_)
    ByService.try_emplace(Name);
  ServicesWithEjections_.clear();
  for (auto &[Name, Instances] : ByService) {
    if (!Instances.empty())
      ServicesWithEjections_.insert(Name);
    Out.emplace_back(
        EjectionsChanged{Name, std::move(Instances), Now + EjectionLifetime});
  }
}

void RegistrySubscriptionState::applyVerdicts(const RequestVerdicts &Verdicts,
                                              TimePoint Now, Effects &Out) {
  if (Verdicts == RequestVerdicts_)
    return;
  FingerprintsQuarantined Changed{Verdicts.Quarantined_};
  for (Fingerprint Suspected : Verdicts.Suspected_) {
    if (!RecentAnswers_.contains(Suspected, Now)) {
      Changed.Suspected_.push_back(Suspected);
    } else if (!contains(RequestVerdicts_.Suspected_, Suspected)) {
      RequestEvidence_.Answered_.push_back(Suspected);
      scheduleReport(Settings_.FailureReportDelay_, Now);
    }
  }
  RequestVerdicts_ = Verdicts;
  Out.emplace_back(std::move(Changed));
}

void RegistrySubscriptionState::scheduleReport(Duration Delay, TimePoint Now) {
  const TimePoint Due = Now + Delay;
  NextReport_ = NextReport_ ? std::min(*NextReport_, Due) : Due;
}

void RegistrySubscriptionState::recordRequest(const ReportAttempt &Attempt,
                                              TimePoint Now) {
  const Fingerprint Request = Attempt.Fingerprint_;
  if (isConnectionCut(Attempt.Result_) &&
      RequestEvidence_.Lost_.size() < MaxLostRequests)
    RequestEvidence_.Lost_.push_back(LostRequest{Attempt.Instance_, Request});
  if (Attempt.Result_ != AttemptResult::Answered)
    return;
  RecentAnswers_.add(Request, Now);
  const bool IsListed = contains(RequestVerdicts_.Suspected_, Request) ||
                        contains(RequestVerdicts_.Quarantined_, Request);
  if (!IsListed || contains(RequestEvidence_.Answered_, Request))
    return;
  RequestEvidence_.Answered_.push_back(Request);
  scheduleReport(Settings_.FailureReportDelay_, Now);
}

void RegistrySubscriptionState::recordAttempt(const ReportAttempt &Attempt,
                                              TimePoint Now) {
  recordRequest(Attempt, Now);
  countForReport(countAttempt(Attempt), Now);
}

void RegistrySubscriptionState::recordOverdue(const ReportOverdue &Overdue,
                                              TimePoint Now) {
  AttemptCounts Counts;
  Counts.Id_ = Overdue.Instance_;
  Counts.Overdue_ = EventCount(1);
  countForReport(Counts, Now);
}

void RegistrySubscriptionState::countForReport(const AttemptCounts &Counts,
                                               TimePoint Now) {
  AttemptCounts &Sum = Attempts_[Counts.Id_];
  Sum.Id_ = Counts.Id_;
  Sum += Counts;
  scheduleReport(Counts.isUrgent() ? Settings_.FailureReportDelay_
                                   : Settings_.SuccessReportDelay_,
                 Now);
}

void RegistrySubscriptionState::recordRetrySpent(const ReportRetry &Spent,
                                                 TimePoint Now) {
  SpentRetries_[Spent.Service_] += EventCount(1);
  scheduleReport(Settings_.FailureReportDelay_, Now);
}

void RegistrySubscriptionState::acceptGrant(const RetriesGranted &Grant,
                                            Effects &Out) {
  RetriesGranted Accepted;
  for (const RetryCount &Granted : Grant.Retries_) {
    auto Spent = SpentRetries_.find(Granted.Service_);
    if (Spent == SpentRetries_.end())
      continue;
    EventCount Taken = std::min(Spent->second, Granted.Retries_);
    Spent->second -= Taken;
    if (Spent->second == EventCount(0))
      SpentRetries_.erase(Spent);
    Accepted.Retries_.push_back(RetryCount{Granted.Service_, Taken});
  }
  if (!Accepted.Retries_.empty())
    Out.emplace_back(std::move(Accepted));
}

void RegistrySubscriptionState::sendReport(Effects &Out) {
  NextReport_.reset();
  AttemptReport Report;
  for (auto &[Id, Sum] : Attempts_)
    Report.Instances_.push_back(std::move(Sum));
  Attempts_.clear();
  Report.Requests_ = std::exchange(RequestEvidence_, {});
  // Spent retries are reported until they are replaced: the pool may be empty,
  // or the gateway may switch to another member.
  for (const auto &[Name, Count] : SpentRetries_)
    Report.SpentRetries_.push_back(RetryCount{Name, Count});
  if (FollowedMember_ && IsConfirmed_)
    Out.emplace_back(SendSubscription{*FollowedMember_, std::move(Report)});
}

} // namespace jaybridge
