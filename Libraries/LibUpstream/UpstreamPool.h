#pragma once

#include <LibUpstream/IndexSet.h>
#include <LibUpstream/UpstreamInstance.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// The instances of one service. Only instances that can take a request now
/// are candidates, so a decision costs the same in a pool of any size but for
/// one lookup by id.
class UpstreamPool {
public:
  /// Cost of an instance in another failure domain: one in the own domain is
  /// preferred until it has two more of four slots in use.
  static constexpr SelectionCost RemoteCost{0.5};
  /// Instances that join a pool within this time of its first one are not
  /// taken for cold: the gateway itself has just started.
  static constexpr Duration FormationTime = 5s;

  /// Latencies of a pool: enough that one slow instance hardly moves the mean
  /// that it is compared with.
  static constexpr EventCount LatencyMemory{100};

  explicit UpstreamPool(FailureDomain Own) : Own_(std::move(Own)) {}

  /// Share of serving instances that ejection and avoidance must leave in use.
  void setFloor(Percentage Floor) { Floor_ = Floor; }
  void apply(const InstanceRecord &Record, TimePoint Now);
  void updateReportedLoad(const InstanceId &Id, SlotCount Busy, TimePoint Now);
  /// Replaces the list of ejected instances. No more are ejected than the
  /// floor permits among the instances known here.
  void setEjections(const std::vector<InstanceId> &Ejected,
                    TimePoint ValidUntil, TimePoint Now);

  template <typename Policy>
  std::optional<InstanceId>
  select(Policy &Chooser, const SelectionRequest &Wanted, TimePoint Now) const;
  void begin(const InstanceId &Id, TimePoint Now);
  void finish(const InstanceId &Id, const AttemptOutcome &Ended, TimePoint Now);

  void advance(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;

  /// Valid until the pool is next changed; null for an unknown instance.
  const UpstreamInstance *find(const InstanceId &Id) const;
  bool hasServing() const { return !Serving_.isEmpty(); }
  bool hasAvailable() const { return !Available_.isEmpty(); }
  std::size_t servingCount() const { return Serving_.size(); }
  SlotCount slotsInUse() const { return InUse_; }
  const LatencyEstimate &latency() const { return Latency_; }

private:
  class Candidates;

  std::size_t permittedAbsences() const;
  /// Brings the sets up to date after the instance changed.
  void refresh(std::size_t Index, TimePoint Now);
  void wakeAt(std::size_t Index, TimePoint At) { Wakeups_.emplace(At, Index); }
  void avoidIfPermitted(std::size_t Index, TimePoint Now);
  /// Forgets an instance that left once no older record can arrive.
  void forgetWhenDue(std::size_t Index, TimePoint Now);

  FailureDomain Own_;
  Percentage Floor_{70};
  std::optional<TimePoint> FormedAt_;
  std::vector<UpstreamInstance> Instances_;
  std::vector<std::size_t> FreeIndices_;
  std::map<InstanceId, std::size_t> Indices_;
  IndexSet Serving_;
  IndexSet Available_;
  IndexSet AvailableHere_;
  IndexSet Avoided_;
  std::vector<std::size_t> Ejected_;
  TimePoint EjectedUntil_{};
  std::set<std::pair<TimePoint, std::size_t>> Wakeups_;
  /// When to forget each instance that left.
  std::map<std::size_t, TimePoint> Gone_;
  SlotCount InUse_;
  LatencyEstimate Latency_{LatencyMemory};
};

/// The available instances as seen by a selection policy.
class UpstreamPool::Candidates {
public:
  Candidates(const UpstreamPool &Pool, const SelectionRequest &Wanted,
             TimePoint Now)
      : Pool_(Pool), Wanted_(Wanted), Now_(Now) {}

  std::size_t count() const { return Pool_.Available_.size(); }
  std::size_t localCount() const { return Pool_.AvailableHere_.size(); }
  std::size_t localPosition(std::size_t Local) const {
    return Pool_.Available_.positionOf(Pool_.AvailableHere_.at(Local));
  }
  std::size_t excludedCount() const { return Wanted_.Tried_.size(); }
  bool isExcluded(std::size_t Position) const {
    const InstanceId &Id = instance(Position).record().Id_;
    return std::find(Wanted_.Tried_.begin(), Wanted_.Tried_.end(), Id) !=
           Wanted_.Tried_.end();
  }
  SelectionCost cost(std::size_t Position) const {
    const UpstreamInstance &Given = instance(Position);
    SelectionCost Own = Given.cost(Pool_.Latency_.mean(), Now_);
    return Given.record().Domain_ == Pool_.Own_ ? Own : Own + RemoteCost;
  }
  const UpstreamInstance &instance(std::size_t Position) const {
    return Pool_.Instances_[Pool_.Available_.at(Position)];
  }

private:
  const UpstreamPool &Pool_;
  const SelectionRequest &Wanted_;
  TimePoint Now_;
};

template <typename Policy>
std::optional<InstanceId> UpstreamPool::select(Policy &Chooser,
                                               const SelectionRequest &Wanted,
                                               TimePoint Now) const {
  static_assert(SelectionPolicy<Policy, Candidates>);
  if (Available_.isEmpty())
    return std::nullopt;
  Candidates Given(*this, Wanted, Now);
  std::optional<std::size_t> Chosen = Chooser.choose(Given);
  if (!Chosen)
    return std::nullopt;
  return Given.instance(*Chosen).record().Id_;
}

} // namespace jaybridge
