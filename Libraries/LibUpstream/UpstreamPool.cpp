#include <LibUpstream/UpstreamPool.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// How often the growing limit of a cold instance is looked at.
constexpr Duration WarmUpStep = 250ms;
/// Records of instances that left are kept this long, so that a delayed older
/// record does not bring them back.
constexpr Duration GoneRetention = 60s;

/// Steps lie on a grid, so that each instance has one pending wake-up.
TimePoint nextWarmUpStep(TimePoint Now) {
  return TimePoint((Now.time_since_epoch() / WarmUpStep + 1) * WarmUpStep);
}

} // namespace

void UpstreamPool::apply(const InstanceRecord &Record, TimePoint Now) {
  if (!FormedAt_)
    FormedAt_ = Now;
  if (auto Known = Indices_.find(Record.Id_); Known != Indices_.end()) {
    if (Instances_[Known->second].update(Record, Now))
      refresh(Known->second, Now);
    return;
  }
  bool IsCold = Now - *FormedAt_ > FormationTime;
  UpstreamInstance Joined(Record, Now, IsCold);
  std::size_t Index = Instances_.size();
  if (FreeIndices_.empty()) {
    Instances_.push_back(std::move(Joined));
  } else {
    Index = FreeIndices_.back();
    FreeIndices_.pop_back();
    Instances_[Index] = std::move(Joined);
  }
  Indices_.emplace(Record.Id_, Index);
  refresh(Index, Now);
}

void UpstreamPool::updateReportedLoad(const InstanceId &Id, SlotCount Busy,
                                      TimePoint Now) {
  if (auto Known = Indices_.find(Id); Known != Indices_.end())
    Instances_[Known->second].updateReportedLoad(Busy, Now);
}

void UpstreamPool::setEjections(const std::vector<InstanceId> &Ejected,
                                TimePoint ValidUntil, TimePoint Now) {
  std::vector<std::size_t> Previous = std::move(Ejected_);
  Ejected_.clear();
  EjectedUntil_ = ValidUntil;
  std::size_t Permitted = permittedAbsences();
  for (const InstanceId &Id : Ejected) {
    auto Known = Indices_.find(Id);
    if (Known != Indices_.end() && Serving_.contains(Known->second) &&
        Ejected_.size() < Permitted && Now < ValidUntil)
      Ejected_.push_back(Known->second);
  }
  for (std::size_t Index : Previous) {
    bool IsStill =
        std::find(Ejected_.begin(), Ejected_.end(), Index) != Ejected_.end();
    Instances_[Index].setEjected(IsStill, Now);
    refresh(Index, Now);
  }
  for (std::size_t Index : Ejected_) {
    Instances_[Index].setEjected(true, Now);
    refresh(Index, Now);
  }
}

void UpstreamPool::begin(const InstanceId &Id, TimePoint Now) {
  std::size_t Index = Indices_.at(Id);
  Instances_[Index].begin();
  InUse_ += SlotCount(1);
  refresh(Index, Now);
}

void UpstreamPool::finish(const InstanceId &Id, const AttemptOutcome &Ended,
                          TimePoint Now) {
  std::size_t Index = Indices_.at(Id);
  Instances_[Index].finish(Ended, Now);
  InUse_ -= SlotCount(1);
  bool IsServerError = Ended.Response_.Status_ >= MinServerErrorStatus;
  if (Ended.Result_ == AttemptResult::Answered && !IsServerError)
    Latency_.record(Ended.Elapsed_, Now);
  else if (Ended.Result_ == AttemptResult::TimedOut)
    Latency_.recordLowerBound(Ended.Elapsed_, Now);
  avoidIfPermitted(Index, Now);
  refresh(Index, Now);
}

void UpstreamPool::avoidIfPermitted(std::size_t Index, TimePoint Now) {
  std::optional<Duration> Time = Instances_[Index].avoidanceTime();
  if (!Time)
    return;
  if (!Avoided_.contains(Index) &&
      Avoided_.size() + Ejected_.size() >= permittedAbsences())
    return;
  Avoided_.insert(Index);
  Instances_[Index].hold(Now + *Time);
}

void UpstreamPool::advance(TimePoint Now) {
  if (!Ejected_.empty() && Now >= EjectedUntil_)
    setEjections({}, Now, Now);
  while (!Wakeups_.empty() && Wakeups_.begin()->first <= Now) {
    std::size_t Index = Wakeups_.begin()->second;
    Wakeups_.erase(Wakeups_.begin());
    refresh(Index, Now);
  }
}

std::optional<TimePoint> UpstreamPool::nextDeadline() const {
  std::optional<TimePoint> Next;
  if (!Wakeups_.empty())
    Next = Wakeups_.begin()->first;
  if (!Ejected_.empty() && (!Next || EjectedUntil_ < *Next))
    Next = EjectedUntil_;
  return Next;
}

const UpstreamInstance *UpstreamPool::find(const InstanceId &Id) const {
  auto Known = Indices_.find(Id);
  return Known == Indices_.end() ? nullptr : &Instances_[Known->second];
}

std::size_t UpstreamPool::permittedAbsences() const {
  std::size_t Kept = (Serving_.size() * Floor_.value() + 99) / 100;
  return Serving_.size() - std::min(Serving_.size(), Kept);
}

void UpstreamPool::refresh(std::size_t Index, TimePoint Now) {
  UpstreamInstance &Given = Instances_[Index];
  auto Place = [Index](IndexSet &Set, bool IsMember) {
    IsMember ? Set.insert(Index) : Set.erase(Index);
  };
  bool IsAvailable = Given.isAvailable(Now);
  Place(Serving_, Given.isServing());
  Place(Available_, IsAvailable);
  Place(AvailableHere_, IsAvailable && Given.record().Domain_ == Own_);
  if (!Given.isServing() || Now >= Given.heldUntil())
    Avoided_.erase(Index);
  if (!Given.isServing()) {
    if (Given.record().State_ != InstanceState::Draining &&
        Given.inUse() == SlotCount(0))
      forgetWhenDue(Index, Now);
    return;
  }
  Gone_.erase(Index);
  if (Now < Given.heldUntil())
    wakeAt(Index, Given.heldUntil());
  else if (Given.isWarmingUp(Now) && !IsAvailable)
    wakeAt(Index, nextWarmUpStep(Now));
}

void UpstreamPool::forgetWhenDue(std::size_t Index, TimePoint Now) {
  auto [Due, IsNew] = Gone_.try_emplace(Index, Now + GoneRetention);
  if (IsNew)
    return wakeAt(Index, Due->second);
  if (Now < Due->second)
    return;
  Gone_.erase(Due);
  std::erase(Ejected_, Index);
  Indices_.erase(Instances_[Index].record().Id_);
  FreeIndices_.push_back(Index);
}

} // namespace jaybridge
