#pragma once

#include <LibUpstream/UpstreamInstance.h>

#include <concepts>

namespace jaybridge {

/// What the cost of a candidate depends on apart from the instance itself.
struct CostContext {
  Duration PoolMeanLatency_{};
  bool IsLocal_ = true;
  bool IsRepeatable_ = true;
  TimePoint Now_{};
};

/// Computes the cost of placing the next request on an instance.
template <typename Policy>
concept CandidateCost = requires(const UpstreamInstance &Instance,
                                 const CostContext &Context) {
  { Policy::cost(Instance, Context) } -> std::same_as<SelectionCost>;
};

/// Cost by the requests at an instance and its latency.
struct LoadCost {
  /// Extra cost of an instance in a remote failure domain. Local instances are
  /// preferred until they have two more of four slots in use.
  static constexpr SelectionCost RemoteDomainCost{0.5};
  /// Extra cost of an instance that returns from an ejection, for requests that
  /// must not be repeated: others try it first.
  static constexpr SelectionCost ProbationCost{2};

  static SelectionCost cost(const UpstreamInstance &Instance,
                            const CostContext &Context) {
    SelectionCost Cost = Instance.cost(Context.PoolMeanLatency_, Context.Now_);
    if (!Context.IsRepeatable_ && Instance.isOnProbation(Context.Now_))
      Cost += ProbationCost;
    if (!Context.IsLocal_)
      Cost += RemoteDomainCost;
    return Cost;
  }
};

/// Cost by the work that remains at an instance and by the attempts that it
/// takes until one is run there.
struct BacklogCost {
  static SelectionCost cost(const UpstreamInstance &Instance,
                            const CostContext &Context) {
    SelectionCost Cost = LoadCost::cost(Instance, Context);
    double RunShare = 1 - Instance.rejectionShare(Context.Now_).value();
    return SelectionCost(Cost.value() / RunShare);
  }
};

} // namespace jaybridge
