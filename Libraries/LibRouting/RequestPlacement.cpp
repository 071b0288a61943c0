// The part of RequestDispatcher that decides where a request is placed, or that
// it is rejected because no instance would run it.
#include <LibRouting/RequestDispatcher.h>

#include <LibRouting/AttemptAnswer.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// While requests are placed first on instances that ran their last one, one
/// request in this many is placed on any instance, so that each instance that
/// works again is found by some gateway within two seconds.
constexpr std::uint64_t ExplorationInterval = 4;

} // namespace

std::optional<InstanceId>
RequestDispatcher::selectByCost(const SelectionRequest &Selection,
                                const ServiceRouter &Router, TimePoint Now) {
  if (Mode_ == Placement::Cost)
    return Router.pool().select<BacklogCost>(Selector_, Selection, Now);
  return Router.pool().select<LoadCost>(Selector_, Selection, Now);
}

std::optional<InstanceId>
RequestDispatcher::selectWhereItRuns(const RequestExecution &Execution,
                                     const ServiceRouter &Router,
                                     TimePoint Now) {
  return selectByCost(SelectionRequest{Execution.triedInstances(),
                                       Execution.isRepeatable(),
                                       CandidateScope::RanRecently},
                      Router, Now);
}

void RequestDispatcher::placeByCost(RequestExecution &Execution, TimePoint Now,
                                    Effects &Out) {
  ServiceRouter &Router = service(Execution.request().Service_);
  std::optional<InstanceId> Chosen;
  if (Router.isCapacityScarce(Now)) {
    Chosen = selectWhereItRuns(Execution, Router, Now);
    bool IsFirst = !Execution.hasBeenDispatched();
    if (IsFirst && !Chosen &&
        PlacementRandom_.unit() <
            Router.pool().rejections().excess(Now).value())
      return refuse(Execution, RefusalReason::Overloaded, Now, Out);
    if (IsFirst && Chosen && PlacementRandom_.below(ExplorationInterval) == 0)
      if (auto Explored = selectInstance(Execution, Router, Now))
        Chosen = Explored;
  }
  if (!Chosen)
    Chosen = selectInstance(Execution, Router, Now);
  if (Chosen)
    return dispatch(Execution, *Chosen, DispatchKind::Normal, Now, Out);
  // The instances that are not backed off have no free slot.
  if (Router.isRejectingMost(Now))
    return refuse(Execution, RefusalReason::Overloaded, Now, Out);
  enqueue(Execution, Now, Out);
}

bool RequestDispatcher::isRetryFutile(const RequestExecution &Execution,
                                      const ServiceRouter &Router,
                                      TimePoint Now) {
  return Router.isRejectingMost(Now) &&
         !selectWhereItRuns(Execution, Router, Now);
}

Duration RequestDispatcher::retryDelay(const ServiceName &Name, TimePoint Now) {
  const ServiceRouter &Router = service(Name);
  Duration Expected =
      std::max(MinRetryAfter, Router.predictedWait(Queue_.length(Name)));
  if (Mode_ == Placement::Load)
    return Expected;
  Expected = std::max(Expected, Router.expectedCapacityDelay(Now));
  // Spread, so that the rejected callers do not return at the same time.
  return Expected +
         Duration(static_cast<Duration::rep>(
             static_cast<double>(Expected.count()) * PlacementRandom_.unit()));
}

} // namespace jaybridge
