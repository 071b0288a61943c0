#pragma once

#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/AttemptTable.h>
#include <LibRouting/PowerOfTwoChoices.h>
#include <LibRouting/RequestExecution.h>
#include <LibRouting/ServiceRouter.h>

#include <map>
#include <set>

namespace jaybridge {

/// The requests in progress of a gateway and their way through the queue, the
/// instances, retries and hedges to the one answer.
class RequestDispatcher {
public:
  using Effects = std::vector<GatewayEffect>;

  RequestDispatcher(FailureDomain Own, EventCount QueueCapacity,
                    RetryBudgetBounds RetryBounds, RandomSeed Seed)
      : Own_(std::move(Own)), RetryBounds_(RetryBounds), Queue_(QueueCapacity),
        Choices_(Seed) {}

  /// The service's state, created when it is new.
  ServiceRouter &service(const ServiceName &Name);
  const ServiceRouter *findService(const ServiceName &Name) const;
  /// Replaces the policies of all services.
  void configure(const CatalogChanged &Newer);
  ConfigurationVersion version() const { return Version_; }
  void grantRetries(const RetriesGranted &Granted) {
    for (const RetryCount &Each : Granted.Retries_)
      service(Each.Service_).budget().refill(Each.Retries_);
  }
  void quarantine(const std::vector<Fingerprint> &Fingerprints);

  RequestExecution *find(const RequestId &Id);
  std::size_t requestCount() const { return Requests_.size(); }
  bool isIdle() const { return Requests_.empty() && Attempts_.isEmpty(); }

  /// Starts to watch over a request; its id must be new.
  RequestExecution &open(RequestExecution Started);
  /// Drops a waiting request of lower weight; false when there is none.
  bool makeRoom(ClassWeight Weight, TimePoint Now, Effects &Out);
  /// Sends the request to an instance, queues it or refuses it. The execution
  /// may be gone afterwards.
  void place(RequestExecution &Ready, TimePoint Now, Effects &Out);
  /// Gives the request its one answer and cancels what is left of it. The
  /// execution may be gone afterwards.
  void close(RequestExecution &Ended, Answer Final, TimePoint Now,
             Effects &Out);
  /// Closes the request with what is certain about it.
  void refuse(RequestExecution &Ended, RefusalReason Reason, TimePoint Now,
              Effects &Out);
  void endAttempt(const AttemptFinished &Ended, TimePoint Now, Effects &Out);
  /// To be called after the service's pool changed from outside.
  void resume(const ServiceName &Name, TimePoint Now, Effects &Out);

  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

  void recordStep(const RequestExecution &Given, StepKind Kind,
                  std::string Detail, Effects &Out) const;

private:
  enum class DispatchKind { Normal, Hedge };
  using Timers = std::set<std::pair<TimePoint, RequestId>>;

  std::optional<InstanceId> selectFor(const RequestExecution &Ready,
                                      ServiceRouter &Router, TimePoint Now);
  void enqueue(RequestExecution &Ready, TimePoint Now, Effects &Out);
  void dispatch(RequestExecution &Ready, const InstanceId &Instance,
                DispatchKind Kind, TimePoint Now, Effects &Out);
  void pump(const ServiceName &Name, TimePoint Now, Effects &Out);
  void conclude(RequestExecution &Running, AttemptId Attempt,
                const AttemptOutcome &Ended, TimePoint Now, Effects &Out);
  void settleKey(const RequestExecution &Ended, const Answer &Final,
                 Effects &Out) const;
  void startHedge(const RequestId &Id, TimePoint Now, Effects &Out);
  void expireAttempt(TimePoint Now, Effects &Out);
  void noteDeadline(const ServiceName &Name, ServiceRouter &Router);

  FailureDomain Own_;
  RetryBudgetBounds RetryBounds_;
  ConfigurationVersion Version_;
  AdmissionQueue Queue_;
  PowerOfTwoChoices Choices_;
  std::set<Fingerprint> Quarantined_;
  std::map<ServiceName, ServiceRouter> Services_;
  std::map<RequestId, RequestExecution> Requests_;
  AttemptTable Attempts_;
  Timers Deadlines_;
  Timers Hedges_;
  std::set<std::pair<TimePoint, ServiceName>> PoolDeadlines_;
};

} // namespace jaybridge
