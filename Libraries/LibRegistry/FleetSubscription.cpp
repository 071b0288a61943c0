#include <LibRegistry/FleetSubscription.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// How long the judgement of the control members is followed without being
/// renewed.
constexpr Duration SuspectLifetime = 3s;

/// The outcome as a tally of one; none when it says nothing of the instance.
std::optional<AttemptTally> tallyOf(const ObserveAttempt &Seen) {
  AttemptTally Tally;
  Tally.Id_ = Seen.Instance_;
  switch (Seen.Result_) {
  case AttemptResult::Answered:
    (Seen.Status_ >= MinServerErrorStatus ? Tally.Errors_ : Tally.Successes_) =
        EventCount(1);
    return Tally;
  case AttemptResult::ConnectFailed:
    Tally.Unreachable_ = EventCount(1);
    return Tally;
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
  case AttemptResult::TimedOut:
    Tally.Lost_ = EventCount(1);
    return Tally;
  case AttemptResult::RefusedNotRun:
  case AttemptResult::ResponseTooLarge:
  case AttemptResult::Cancelled:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::optional<TimePoint> FleetSubscriptionState::nextDeadline() const {
  TimePoint Next = std::min(GiveUpAt_, NextRenewal_);
  if (ReportAt_)
    Next = std::min(Next, *ReportAt_);
  return Next;
}

void FleetSubscriptionState::advance(TimePoint Now, Effects &Out) {
  if (Now >= GiveUpAt_ ||
      (Now >= NextRenewal_ && IsConfirmed_ && hasNearerMember(Now)))
    chooseNext(Now, Out);
  else if (Now >= NextRenewal_)
    subscribe(Now, Out);
  if (ReportAt_ && Now >= *ReportAt_)
    reportEvidence(Out);
}

std::size_t FleetSubscriptionState::commonPrefix(const MemberId &Member) const {
  const std::string &Own = Settings_.Self_.address();
  const std::string &Other = Member.text();
  std::size_t Shorter = std::min(Own.size(), Other.size());
  auto [End, Ignored] = std::mismatch(
      Own.begin(), Own.begin() + static_cast<long>(Shorter), Other.begin());
  // Up to the last dot, so that host numbers do not count.
  return static_cast<std::size_t>(std::count(Own.begin(), End, '.'));
}

std::vector<MemberId> FleetSubscriptionState::candidates() {
  std::vector<MemberId> Near;
  std::vector<MemberId> Far;
  for (const ControlMember &Each : Members_)
    (Each.Domain_ == Settings_.Domain_ ? Near : Far).push_back(Each.Id_);
  for (const MemberId &Seed : Settings_.Seeds_)
    if (std::find(Near.begin(), Near.end(), Seed) == Near.end() &&
        std::find(Far.begin(), Far.end(), Seed) == Far.end())
      Far.push_back(Seed);
  auto Shuffle = [this](std::vector<MemberId> &List) {
    for (std::size_t Left = List.size(); Left > 1; --Left)
      std::swap(List[Left - 1], List[Random_.below(Left)]);
  };
  Shuffle(Near);
  Shuffle(Far);
  std::stable_sort(Far.begin(), Far.end(),
                   [this](const MemberId &Left, const MemberId &Right) {
                     return commonPrefix(Left) > commonPrefix(Right);
                   });
  Near.insert(Near.end(), Far.begin(), Far.end());
  // Taken from the back.
  std::reverse(Near.begin(), Near.end());
  return Near;
}

void FleetSubscriptionState::chooseNext(TimePoint Now, Effects &Out) {
  if (IsConfirmed_) {
    IsConfirmed_ = false;
    Out.emplace_back(ContactChanged{});
  }
  std::optional<MemberId> Failed = Contact_;
  Contact_.reset();
  if (Untried_.empty())
    Untried_ = candidates();
  if (Untried_.size() > 1 && Untried_.back() == Failed)
    std::swap(Untried_.back(), Untried_.front());
  if (!Untried_.empty()) {
    Contact_ = Untried_.back();
    Untried_.pop_back();
  }
  GiveUpAt_ = Now + (HadContact_ ? Settings_.ContactTimeout_ / 2
                                 : Settings_.FirstContactTimeout_);
  subscribe(Now, Out);
}

void FleetSubscriptionState::resynchronize(TimePoint Now, Effects &Out) {
  if (Now < ResynchronizeAt_)
    return;
  ResynchronizeAt_ = Now + Settings_.ResynchronizeInterval_;
  subscribe(Now, Out);
}

void FleetSubscriptionState::subscribe(TimePoint Now, Effects &Out) {
  NextRenewal_ = Now + Settings_.RenewInterval_;
  if (Contact_)
    Out.emplace_back(SendSubscription{
        *Contact_, Subscribe{Revision_, Version_, digestOf(Members_)}});
}

bool FleetSubscriptionState::hasNearerMember(TimePoint Now) const {
  if (Now < ConfirmedAt_ + Settings_.SettleTime_)
    return false;
  bool IsNear = false;
  bool HasNear = false;
  for (const ControlMember &Each : Members_)
    if (Each.Domain_ == Settings_.Domain_) {
      HasNear = true;
      IsNear = IsNear || Each.Id_ == Contact_;
    }
  return HasNear && !IsNear;
}

void FleetSubscriptionState::heard(const MemberId &From, TimePoint Now,
                                   Effects &Out) {
  GiveUpAt_ = Now + Settings_.ContactTimeout_;
  HadContact_ = true;
  Untried_.clear();
  if (IsConfirmed_)
    return;
  IsConfirmed_ = true;
  ConfirmedAt_ = Now;
  Out.emplace_back(ContactChanged{From});
}

bool FleetSubscriptionState::accepts(const MemberId &From,
                                     const RegistryUpdated &Update,
                                     TimePoint Now, Effects &Out) {
  // A member that was left may be behind the one that is followed now. While
  // none is, the first that answers is.
  if (Contact_ != From && (IsConfirmed_ || Update.Since_))
    return false;
  Contact_ = From;
  if (Update.Since_ ? *Update.Since_ != Revision_
                    : Update.Revision_ < Revision_) {
    resynchronize(Now, Out);
    return false;
  }
  heard(From, Now, Out);
  Revision_ = Update.Revision_;
  return true;
}

void FleetSubscriptionState::applyInstances(const RegistryUpdated &Update,
                                            Effects &Out) {
  if (!Update.Members_.empty())
    Members_ = Update.Members_;
  if (!Update.Since_) {
    std::set<InstanceId> Named;
    for (const InstanceRecord &Each : Update.Instances_)
      Named.insert(Each.Id_);
    std::erase_if(Instances_, [&](const auto &Each) {
      if (Named.contains(Each.first))
        return false;
      InstanceRecord Gone = Each.second;
      Gone.State_ = InstanceState::Left;
      Out.emplace_back(InstanceChanged{std::move(Gone)});
      return true;
    });
  }
  for (const InstanceRecord &Each : Update.Instances_) {
    if (Each.State_ == InstanceState::Left)
      Instances_.erase(Each.Id_);
    else if (auto Known = Instances_.find(Each.Id_);
             Known != Instances_.end() && Known->second == Each)
      continue;
    else
      Instances_.insert_or_assign(Each.Id_, Each);
    Out.emplace_back(InstanceChanged{Each});
  }
}

void FleetSubscriptionState::confirm(const MemberId &From,
                                     const RegistryCurrent &Said, TimePoint Now,
                                     Effects &Out) {
  if (Contact_ != From)
    return;
  if (Said.Revision_ != Revision_)
    return resynchronize(Now, Out);
  heard(From, Now, Out);
  if (!Said.Members_.empty())
    Members_ = Said.Members_;
  applySuspects(Said.Suspects_, Now, Out);
}

void FleetSubscriptionState::leave(const MemberId &From, TimePoint Now,
                                   Effects &Out) {
  // A gateway that knows nothing yet would be sent the whole registry by each
  // member that it asked. Once none is current, they are asked again after a
  // while.
  if (Contact_ == From && HadContact_ && (IsConfirmed_ || !Untried_.empty()))
    chooseNext(Now, Out);
}

void FleetSubscriptionState::applySuspects(
    const std::vector<InstanceId> &Suspects, TimePoint Now, Effects &Out) {
  std::map<ServiceName, std::vector<InstanceId>> ByService;
  for (const InstanceId &Each : Suspects)
    if (auto Known = Instances_.find(Each); Known != Instances_.end())
      ByService[Known->second.Service_].push_back(Each);
  // A service without suspects any more is named once, with an empty list.
  for (const auto &[Name, Previous] : Suspects_)
    ByService.try_emplace(Name);
  for (const auto &[Name, Named] : ByService)
    Out.emplace_back(EjectionsChanged{Name, Named, Now + SuspectLifetime});
  std::erase_if(ByService,
                [](const auto &Each) { return Each.second.empty(); });
  Suspects_ = std::move(ByService);
}

void FleetSubscriptionState::observe(const ObserveAttempt &Seen,
                                     TimePoint Now) {
  std::optional<AttemptTally> Tally = tallyOf(Seen);
  if (!Tally)
    return;
  AttemptTally &Sum = Evidence_[Seen.Instance_];
  Sum.Id_ = Seen.Instance_;
  Sum += *Tally;
  TimePoint Due = Now + (Tally->hasFailure() ? Settings_.FailureDelay_
                                             : Settings_.SuccessDelay_);
  ReportAt_ = ReportAt_ ? std::min(*ReportAt_, Due) : Due;
}

void FleetSubscriptionState::spend(const RetrySpent &Spent, TimePoint Now) {
  Spent_[Spent.Service_] += EventCount(1);
  TimePoint Due = Now + Settings_.FailureDelay_;
  ReportAt_ = ReportAt_ ? std::min(*ReportAt_, Due) : Due;
}

void FleetSubscriptionState::replace(const RetriesGranted &Granted,
                                     Effects &Out) {
  RetriesGranted Wanted;
  for (const RetryCount &Each : Granted.Retries_) {
    auto Known = Spent_.find(Each.Service_);
    if (Known == Spent_.end())
      continue;
    EventCount Taken = std::min(Known->second, Each.Retries_);
    Known->second -= Taken;
    if (Known->second == EventCount(0))
      Spent_.erase(Known);
    Wanted.Retries_.push_back(RetryCount{Each.Service_, Taken});
  }
  if (!Wanted.Retries_.empty())
    Out.emplace_back(std::move(Wanted));
}

void FleetSubscriptionState::reportEvidence(Effects &Out) {
  ReportAt_.reset();
  EvidenceReported Report;
  for (auto &[Id, Sum] : Evidence_)
    Report.Instances_.push_back(std::move(Sum));
  Evidence_.clear();
  // Repeated until they are replaced: the pool may be empty, or another member
  // may be followed.
  for (const auto &[Name, Count] : Spent_)
    Report.Spent_.push_back(RetryCount{Name, Count});
  if (Contact_ && IsConfirmed_)
    Out.emplace_back(SendSubscription{*Contact_, std::move(Report)});
}

} // namespace jaybridge
