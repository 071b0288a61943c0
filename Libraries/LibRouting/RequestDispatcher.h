#pragma once

#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/AttemptTable.h>
#include <LibRouting/PowerOfTwoChoices.h>
#include <LibRouting/RequestExecution.h>
#include <LibRouting/ServiceRouter.h>

#include <map>
#include <set>

namespace jaybridge {

/// Tracks the requests in progress of a gateway: queues and dispatches them,
/// retries and hedges attempts, and gives each request its one answer.
class RequestDispatcher {
public:
  using Effects = std::vector<GatewayEffect>;

  RequestDispatcher(FailureDomain OwnDomain, EventCount QueueCapacity,
                    RetryBudgetBounds RetryBounds, RandomSeed Seed,
                    Placement Mode = Placement::Load)
      : OwnDomain_(std::move(OwnDomain)), RetryBounds_(RetryBounds),
        Mode_(Mode), Queue_(QueueCapacity), Selector_(Seed),
        PlacementRandom_(RandomSeed(~Seed.value())) {}

  /// State of the service; created if there is none.
  ServiceRouter &service(const ServiceName &Name);
  const ServiceRouter *findService(const ServiceName &Name) const;
  /// Replaces the policies of all services.
  void configure(const CatalogChanged &Changed);
  ConfigurationVersion version() const { return Version_; }
  void addGrantedRetries(const RetriesGranted &Granted) {
    for (const RetryCount &Grant : Granted.Retries_)
      service(Grant.Service_).budget().refill(Grant.Retries_);
  }
  void quarantine(const FingerprintsQuarantined &Changed);
  /// From now on nothing is dispatched that may not end by this time. Requests
  /// in progress at this time are refused with their known outcome.
  void setFinishBy(TimePoint FinishBy) { FinishBy_ = FinishBy; }

  RequestExecution *find(const RequestId &Id);
  std::size_t requestCount() const { return Requests_.size(); }
  bool isIdle() const { return Requests_.empty() && Attempts_.isEmpty(); }

  /// Starts tracking a request and its deadline. Precondition: its id is new.
  RequestExecution &open(RequestExecution Execution);
  /// Refuses a queued request with a lower weight; false when there is none.
  bool shedLowerWeight(ClassWeight Weight, TimePoint Now, Effects &Out);
  bool canShedLowerWeight(ClassWeight Weight) const {
    return Queue_.hasBelow(Weight);
  }
  /// What dispatchOrQueue() would do with the request.
  AdmissionDecision assess(const RequestExecution &Execution,
                           TimePoint Now) const;
  /// Dispatches the request to an instance, queues it or refuses it. The
  /// execution may be destroyed afterwards.
  void dispatchOrQueue(RequestExecution &Execution, TimePoint Now,
                       Effects &Out);
  /// Answers the request and cancels its live attempts or its forward. The
  /// execution may be destroyed afterwards.
  void close(RequestExecution &Execution, Answer Final, TimePoint Now,
             Effects &Out);
  /// Closes the request with a refusal whose outcome follows from its attempts.
  void refuse(RequestExecution &Execution, RefusalReason Reason, TimePoint Now,
              Effects &Out);
  void endAttempt(const AttemptFinished &Finished, TimePoint Now, Effects &Out);
  /// Dispatches queued requests and updates the pool's timer. Must be called
  /// after each change of the service's pool by the caller.
  void handlePoolChange(const ServiceName &Name, TimePoint Now, Effects &Out);

  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

  void recordStep(const RequestExecution &Execution, StepKind Kind,
                  std::string Detail, Effects &Out) const;

private:
  /// A request is queued only if its predicted wait is at most the remaining
  /// time divided by this; the rest is left for the service time. At three
  /// times the load and a patience of four service times, a half served 94% of
  /// what the pool can serve, a quarter 98% and a sixth 99%.
  static constexpr int QueueWaitDivisor = 6;

  enum class DispatchKind { Normal, Hedge };
  using Timers = std::set<std::pair<TimePoint, RequestId>>;

  /// Time after the deadline within which the end of an attempt must be
  /// reported; then the gateway ends it as timed out. Otherwise a missing
  /// report would occupy a slot of the instance forever.
  static constexpr Duration ReportTimeout = 5s;

  /// False when an attempt that starts now may last longer than FinishBy_.
  bool canEndInTime(const RequestExecution &Execution, TimePoint Now) const;
  /// Refuses the requests that are in progress at FinishBy_.
  void refuseUnfinished(TimePoint Now, Effects &Out);
  /// Selects an instance with the cost policy of the placement.
  std::optional<InstanceId> selectByCost(const SelectionRequest &Selection,
                                         const ServiceRouter &Router,
                                         TimePoint Now);
  /// With placement by cost, while instances reject many requests: an instance
  /// that ran its last one.
  std::optional<InstanceId> selectWhereItRuns(const RequestExecution &Execution,
                                              const ServiceRouter &Router,
                                              TimePoint Now);
  /// Dispatches, queues or rejects a request with placement by cost.
  void placeByCost(RequestExecution &Execution, TimePoint Now, Effects &Out);
  /// True when another attempt of a rejected request would probably be rejected
  /// too.
  bool isRetryFutile(const RequestExecution &Execution,
                     const ServiceRouter &Router, TimePoint Now);
  /// Time after which a caller may send a request again that did not run.
  Duration retryDelay(const ServiceName &Name, TimePoint Now);
  /// Selects an instance that had no attempt of the request, or else any.
  std::optional<InstanceId> selectInstance(const RequestExecution &Execution,
                                           ServiceRouter &Router,
                                           TimePoint Now);
  void enqueue(RequestExecution &Execution, TimePoint Now, Effects &Out);
  void dispatch(RequestExecution &Execution, const InstanceId &Instance,
                DispatchKind Kind, TimePoint Now, Effects &Out);
  /// Dispatches queued requests of the service while instances are available,
  /// and refuses those that cannot be served any more.
  void dispatchQueued(const ServiceName &Name, TimePoint Now, Effects &Out);
  /// Answers or retries the request after one of its attempts has ended.
  void handleAttemptEnd(RequestExecution &Execution, AttemptId Attempt,
                        const AttemptOutcome &AttemptEnd, TimePoint Now,
                        Effects &Out);
  /// Releases the claim of a request that did not run; else stores its answer.
  void releaseOrFinishKey(const RequestExecution &Execution,
                          const Answer &Final, Effects &Out) const;
  /// Why a second attempt starts while the first is open: it takes longer than
  /// most, or it probably hangs.
  enum class HedgeReason { Slow, Overdue };
  void startHedge(RequestExecution &Execution, HedgeReason Reason,
                  TimePoint Now, Effects &Out);
  /// Reports the attempt and hedges its request if that may run twice.
  void handleOverdue(const LiveAttempt &Overdue, TimePoint Now, Effects &Out);
  /// Ends the attempt that expires first as if it had been reported.
  void expireFirstAttempt(TimePoint Now, Effects &Out);
  /// Updates the timer of the service's pool.
  void schedulePoolDeadline(const ServiceName &Name, ServiceRouter &Router);

  FailureDomain OwnDomain_;
  RetryBudgetBounds RetryBounds_;
  ConfigurationVersion Version_;
  TimePoint FinishBy_ = TimePoint::max();
  Placement Mode_;
  AdmissionQueue Queue_;
  PowerOfTwoChoices Selector_;
  /// Used with placement by cost only, so that placement by load draws the same
  /// numbers as before.
  Random PlacementRandom_;
  std::set<Fingerprint> QuarantinedFingerprints_;
  std::set<Fingerprint> SuspectedFingerprints_;
  std::map<ServiceName, ServiceRouter> Services_;
  std::map<RequestId, RequestExecution> Requests_;
  AttemptTable Attempts_;
  Timers RequestDeadlines_;
  Timers HedgeTimers_;
  std::set<std::pair<TimePoint, ServiceName>> PoolDeadlines_;
};

} // namespace jaybridge
