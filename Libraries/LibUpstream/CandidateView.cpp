#include <LibUpstream/UpstreamPool.h>

namespace jaybridge {

UnavailableReason UpstreamInstance::unavailableReason(TimePoint Now) const {
  if (Record_.State_ == InstanceState::Draining)
    return UnavailableReason::Draining;
  if (!isServing())
    return UnavailableReason::Departed;
  if (IsEjected_)
    return UnavailableReason::Ejected;
  if (Now < BackoffEndsAt_)
    return UnavailableReason::BackingOff;
  return isWarmingUp(Now) ? UnavailableReason::WarmingUp
                          : UnavailableReason::Full;
}

std::vector<CandidateView>
UpstreamPool::candidates(const SelectionRequest &Request, TimePoint Now) const {
  std::vector<CandidateView> Views;
  Views.reserve(IndexById_.size());
  for (const auto &[Id, Index] : IndexById_) {
    const UpstreamInstance &Instance = Instances_[Index];
    CandidateView View;
    View.Instance_ = Id;
    View.Domain_ = Instance.record().Domain_;
    View.IsLocal_ = View.Domain_ == LocalDomain_;
    View.InUse_ = Instance.inUse();
    View.Limit_ = Instance.limit(Now);
    const CostContext Context{Latency_.mean(), View.IsLocal_,
                              Request.IsRepeatable_, Now};
    if (Available_.contains(Index))
      View.Cost_ = Mode_ == Placement::Cost
                       ? BacklogCost::cost(Instance, Context)
                       : LoadCost::cost(Instance, Context);
    else
      View.Reason_ = Instance.unavailableReason(Now);
    Views.push_back(std::move(View));
  }
  return Views;
}

} // namespace jaybridge
