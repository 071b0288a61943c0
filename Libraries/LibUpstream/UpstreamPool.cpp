#include <LibUpstream/UpstreamPool.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Interval at which the rising limit of a cold instance is checked.
constexpr Duration WarmUpCheckInterval = 250ms;
/// Records of departed instances are kept this long, so that a delayed older
/// record does not add the instance again.
constexpr Duration DepartedInstanceRetention = 60s;

/// Checks happen at multiples of the interval, so that each instance has only
/// one pending wake-up.
TimePoint nextWarmUpCheck(TimePoint Now) {
  return TimePoint((Now.time_since_epoch() / WarmUpCheckInterval + 1) *
                   WarmUpCheckInterval);
}

} // namespace

void UpstreamPool::apply(const InstanceRecord &Record, TimePoint Now) {
  if (!FirstInstanceAt_)
    FirstInstanceAt_ = Now;
  if (auto Found = IndexById_.find(Record.Id_); Found != IndexById_.end()) {
    if (Instances_[Found->second].update(Record, Now))
      updateMembership(Found->second, Now);
    return;
  }
  bool IsCold = Now - *FirstInstanceAt_ > StartupGracePeriod;
  UpstreamInstance NewInstance(Record, Now, IsCold, Mode_);
  std::size_t Index = Instances_.size();
  if (FreeIndices_.empty()) {
    Instances_.push_back(std::move(NewInstance));
  } else {
    Index = FreeIndices_.back();
    FreeIndices_.pop_back();
    Instances_[Index] = std::move(NewInstance);
  }
  IndexById_.emplace(Record.Id_, Index);
  updateMembership(Index, Now);
}

void UpstreamPool::updateReportedLoad(const InstanceId &Id,
                                      SlotCount ReportedLoad, TimePoint Now) {
  if (auto Found = IndexById_.find(Id); Found != IndexById_.end())
    Instances_[Found->second].updateReportedLoad(ReportedLoad, Now);
}

void UpstreamPool::setEjections(const std::vector<InstanceId> &Ejected,
                                TimePoint ValidUntil, TimePoint Now) {
  std::vector<std::size_t> Previous = std::move(Ejected_);
  Ejected_.clear();
  EjectionsValidUntil_ = ValidUntil;
  std::size_t MaxEjected = maxOutOfRotation();
  for (const InstanceId &Id : Ejected) {
    auto Found = IndexById_.find(Id);
    if (Found != IndexById_.end() && Serving_.contains(Found->second) &&
        Ejected_.size() < MaxEjected && Now < ValidUntil)
      Ejected_.push_back(Found->second);
  }
  for (std::size_t Index : Previous) {
    bool IsStillEjected =
        std::find(Ejected_.begin(), Ejected_.end(), Index) != Ejected_.end();
    Instances_[Index].setEjected(IsStillEjected, Now);
    updateMembership(Index, Now);
  }
  for (std::size_t Index : Ejected_) {
    Instances_[Index].setEjected(true, Now);
    updateMembership(Index, Now);
  }
}

void UpstreamPool::begin(const InstanceId &Id, TimePoint Now) {
  std::size_t Index = IndexById_.at(Id);
  Instances_[Index].begin();
  InUse_ += SlotCount(1);
  updateMembership(Index, Now);
}

void UpstreamPool::finish(const InstanceId &Id, const AttemptOutcome &Attempt,
                          TimePoint Now) {
  std::size_t Index = IndexById_.at(Id);
  Instances_[Index].finish(Attempt, Now);
  InUse_ -= SlotCount(1);
  bool IsServerError = Attempt.Response_.Status_ >= MinServerErrorStatus;
  if (Attempt.Result_ == AttemptResult::Answered && !IsServerError)
    Latency_.record(Attempt.Elapsed_, Now);
  else if (Attempt.Result_ == AttemptResult::TimedOut)
    Latency_.recordLowerBound(Attempt.Elapsed_, Now);
  if (Mode_ == Placement::Cost) {
    if (Attempt.Result_ == AttemptResult::RefusedNotRun)
      Rejections_.recordRejection(Now);
    else if (Attempt.Result_ == AttemptResult::Answered)
      Rejections_.recordRun(Now);
    updateRanRecently(Index, Now);
  }
  backOffIfPermitted(Index, Now);
  updateMembership(Index, Now);
}

void UpstreamPool::updateRanRecently(std::size_t Index, TimePoint Now) {
  auto Update = [&](std::size_t Member) {
    const UpstreamInstance &Instance = Instances_[Member];
    if (Instance.isServing() && Instance.hasRunRecently(Now)) {
      RanRecently_.insert(Member);
      if (Instance.record().Domain_ == LocalDomain_)
        RanRecentlyLocal_.insert(Member);
      return;
    }
    RanRecently_.erase(Member);
    RanRecentlyLocal_.erase(Member);
  };
  Update(Index);
  if (!RanRecently_.isEmpty())
    Update(RanRecently_.at(NextCleanup_++ % RanRecently_.size()));
}

void UpstreamPool::backOffIfPermitted(std::size_t Index, TimePoint Now) {
  std::optional<Duration> Backoff = Instances_[Index].backoffDuration();
  if (!Backoff)
    return;
  if (!BackedOff_.contains(Index) &&
      BackedOff_.size() + Ejected_.size() >= maxOutOfRotation())
    return;
  BackedOff_.insert(Index);
  Instances_[Index].extendBackoff(Now + *Backoff);
}

void UpstreamPool::advance(TimePoint Now) {
  if (!Ejected_.empty() && Now >= EjectionsValidUntil_)
    setEjections({}, Now, Now);
  while (!Wakeups_.empty() && Wakeups_.begin()->first <= Now) {
    std::size_t Index = Wakeups_.begin()->second;
    Wakeups_.erase(Wakeups_.begin());
    updateMembership(Index, Now);
  }
}

std::optional<TimePoint> UpstreamPool::nextDeadline() const {
  std::optional<TimePoint> Next;
  if (!Wakeups_.empty())
    Next = Wakeups_.begin()->first;
  if (!Ejected_.empty() && (!Next || EjectionsValidUntil_ < *Next))
    Next = EjectionsValidUntil_;
  return Next;
}

const UpstreamInstance *UpstreamPool::find(const InstanceId &Id) const {
  auto Found = IndexById_.find(Id);
  return Found == IndexById_.end() ? nullptr : &Instances_[Found->second];
}

std::size_t UpstreamPool::maxOutOfRotation() const {
  std::size_t MinInRotation = (Serving_.size() * Floor_.value() + 99) / 100;
  return Serving_.size() - std::min(Serving_.size(), MinInRotation);
}

void UpstreamPool::updateMembership(std::size_t Index, TimePoint Now) {
  UpstreamInstance &Instance = Instances_[Index];
  auto SetMembership = [Index](IndexSet &Set, bool IsMember) {
    IsMember ? Set.insert(Index) : Set.erase(Index);
  };
  bool IsAvailable = Instance.isAvailable(Now);
  SetMembership(Serving_, Instance.isServing());
  SetMembership(Available_, IsAvailable);
  SetMembership(AvailableLocal_,
                IsAvailable && Instance.record().Domain_ == LocalDomain_);
  if (!Instance.isServing() || Now >= Instance.backoffEnd())
    BackedOff_.erase(Index);
  if (!Instance.isServing()) {
    if (Instance.record().State_ != InstanceState::Draining &&
        Instance.inUse() == SlotCount(0))
      removeWhenDue(Index, Now);
    return;
  }
  RemovalTimes_.erase(Index);
  if (Now < Instance.backoffEnd())
    scheduleWakeup(Index, Instance.backoffEnd());
  else if (Instance.isWarmingUp(Now) && !IsAvailable)
    scheduleWakeup(Index, nextWarmUpCheck(Now));
}

void UpstreamPool::removeWhenDue(std::size_t Index, TimePoint Now) {
  auto [Due, IsNew] =
      RemovalTimes_.try_emplace(Index, Now + DepartedInstanceRetention);
  if (IsNew)
    return scheduleWakeup(Index, Due->second);
  if (Now < Due->second)
    return;
  RemovalTimes_.erase(Due);
  std::erase(Ejected_, Index);
  RanRecently_.erase(Index);
  RanRecentlyLocal_.erase(Index);
  IndexById_.erase(Instances_[Index].record().Id_);
  FreeIndices_.push_back(Index);
}

} // namespace jaybridge
