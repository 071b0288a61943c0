#pragma once

#include <LibUpstream/CandidateCost.h>
#include <LibUpstream/IndexSet.h>
#include <LibUpstream/UpstreamInstance.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// Upstream instances of one service. Only instances that can take a request
/// now are candidates, so a selection costs the same in a pool of any size,
/// except for one lookup by id.
class UpstreamPool {
public:
  /// Instances that join within this time after the first one are not treated
  /// as cold, because the gateway itself has just started.
  static constexpr Duration StartupGracePeriod = 5s;

  /// Samples in the latency mean of the pool: many, so that one slow instance
  /// hardly changes the mean that it is compared with.
  static constexpr EventCount LatencySampleWindow{100};

  /// Time from a rejection until its weight in the pool's share has halved.
  static constexpr Duration RejectionHalfLife = 2s;

  explicit UpstreamPool(FailureDomain LocalDomain,
                        Placement Mode = Placement::Load)
      : LocalDomain_(std::move(LocalDomain)), Mode_(Mode) {}

  /// Sets the share of serving instances that ejection and backoff must leave
  /// in rotation.
  void setFloor(Percentage Floor) { Floor_ = Floor; }
  /// Adds the instance, or updates its record if the given one is newer.
  void apply(const InstanceRecord &Record, TimePoint Now);
  /// Takes a load report: the requests at the instance, including queued ones.
  void updateReportedLoad(const InstanceId &Id, SlotCount ReportedLoad,
                          TimePoint Now);
  /// Replaces the list of ejected instances. Ejects at most as many as the
  /// floor permits among the instances known to this gateway.
  void setEjections(const std::vector<InstanceId> &Ejected,
                    TimePoint ValidUntil, TimePoint Now);

  /// Returns an available instance that has not been tried; none when there is
  /// no such instance.
  template <CandidateCost CostPolicy = LoadCost, typename Policy>
  std::optional<InstanceId> select(Policy &Selector,
                                   const SelectionRequest &Request,
                                   TimePoint Now) const;
  /// An attempt at the instance starts. The instance must be in the pool.
  void begin(const InstanceId &Id, TimePoint Now);
  /// An attempt at the instance ended.
  void finish(const InstanceId &Id, const AttemptOutcome &Attempt,
              TimePoint Now);

  void advance(TimePoint Now);
  std::optional<TimePoint> nextDeadline() const;

  /// The pointer is valid until the pool changes; null for an unknown instance.
  const UpstreamInstance *find(const InstanceId &Id) const;
  /// All known instances by id, as a selection sees them.
  std::vector<CandidateView> candidates(const SelectionRequest &Request,
                                        TimePoint Now) const;
  bool hasServing() const { return !Serving_.isEmpty(); }
  bool hasAvailable() const { return !Available_.isEmpty(); }
  std::size_t servingCount() const { return Serving_.size(); }
  SlotCount slotsInUse() const { return InUse_; }
  const LatencyEstimate &latency() const { return Latency_; }
  /// Rejections by the instances; empty with placement by load.
  const RejectionShare &rejections() const { return Rejections_; }

private:
  template <CandidateCost CostPolicy> class Candidates;

  std::size_t maxOutOfRotation() const;
  /// Updates the index sets and wake-ups after a change of the instance.
  void updateMembership(std::size_t Index, TimePoint Now);
  void scheduleWakeup(std::size_t Index, TimePoint At) {
    Wakeups_.emplace(At, Index);
  }
  /// Updates the sets of instances that ran a request recently. Drops at most
  /// one outdated member per call, so that the cost does not grow with the
  /// pool.
  void updateRanRecently(std::size_t Index, TimePoint Now);
  void backOffIfPermitted(std::size_t Index, TimePoint Now);
  /// Removes a departed instance once no delayed older record of it can arrive.
  void removeWhenDue(std::size_t Index, TimePoint Now);

  FailureDomain LocalDomain_;
  Placement Mode_;
  Percentage Floor_{70};
  std::optional<TimePoint> FirstInstanceAt_;
  std::vector<UpstreamInstance> Instances_;
  std::vector<std::size_t> FreeIndices_;
  std::map<InstanceId, std::size_t> IndexById_;
  IndexSet Serving_;
  IndexSet Available_;
  IndexSet AvailableLocal_;
  IndexSet BackedOff_;
  IndexSet RanRecently_;
  IndexSet RanRecentlyLocal_;
  std::size_t NextCleanup_ = 0;
  std::vector<std::size_t> Ejected_;
  TimePoint EjectionsValidUntil_{};
  std::set<std::pair<TimePoint, std::size_t>> Wakeups_;
  /// Time at which each departed instance is removed.
  std::map<std::size_t, TimePoint> RemovalTimes_;
  SlotCount InUse_;
  LatencyEstimate Latency_{LatencySampleWindow};
  RejectionShare Rejections_{RejectionHalfLife};
};

/// View of the instances in the scope of a request for a selection policy.
template <CandidateCost CostPolicy> class UpstreamPool::Candidates {
public:
  Candidates(const UpstreamPool &Pool, const SelectionRequest &Request,
             TimePoint Now)
      : Pool_(Pool), Request_(Request), Now_(Now),
        Members_(isNarrowed() ? Pool.RanRecently_ : Pool.Available_),
        LocalMembers_(isNarrowed() ? Pool.RanRecentlyLocal_
                                   : Pool.AvailableLocal_) {}

  std::size_t count() const { return Members_.size(); }
  std::size_t localCount() const { return LocalMembers_.size(); }
  std::size_t localPosition(std::size_t Local) const {
    return Members_.positionOf(LocalMembers_.at(Local));
  }
  std::size_t excludedCount() const { return Request_.Tried_.size(); }
  bool isExcluded(std::size_t Position) const {
    const UpstreamInstance &Candidate = instance(Position);
    if (isNarrowed() &&
        !(Candidate.isAvailable(Now_) && Candidate.hasRunRecently(Now_)))
      return true;
    const InstanceId &Id = Candidate.record().Id_;
    return std::find(Request_.Tried_.begin(), Request_.Tried_.end(), Id) !=
           Request_.Tried_.end();
  }
  SelectionCost cost(std::size_t Position) const {
    const UpstreamInstance &Candidate = instance(Position);
    return CostPolicy::cost(
        Candidate, CostContext{Pool_.Latency_.mean(),
                               Candidate.record().Domain_ == Pool_.LocalDomain_,
                               Request_.IsRepeatable_, Now_});
  }
  const UpstreamInstance &instance(std::size_t Position) const {
    return Pool_.Instances_[Members_.at(Position)];
  }

private:
  bool isNarrowed() const {
    return Request_.Scope_ == CandidateScope::RanRecently;
  }

  const UpstreamPool &Pool_;
  const SelectionRequest &Request_;
  TimePoint Now_;
  const IndexSet &Members_;
  const IndexSet &LocalMembers_;
};

template <CandidateCost CostPolicy, typename Policy>
std::optional<InstanceId> UpstreamPool::select(Policy &Selector,
                                               const SelectionRequest &Request,
                                               TimePoint Now) const {
  static_assert(SelectionPolicy<Policy, Candidates<CostPolicy>>);
  Candidates<CostPolicy> InScope(*this, Request, Now);
  if (InScope.count() == 0)
    return std::nullopt;
  std::optional<std::size_t> Chosen = Selector.choose(InScope);
  if (!Chosen)
    return std::nullopt;
  return InScope.instance(*Chosen).record().Id_;
}

} // namespace jaybridge
