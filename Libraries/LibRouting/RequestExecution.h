#pragma once

#include <LibProfile/Profile.h>
#include <LibRouting/GatewayMessages.h>

#include <algorithm>

namespace jaybridge {

/// One request in progress. It tracks the attempts of the request and is the
/// only place that derives from them whether the request may have run.
class RequestExecution {
public:
  /// Maximum attempts of one request, including retries and hedges.
  static constexpr std::size_t MaxAttempts = 4;
  /// Attempts that may end in a lost connection. A request that crashes its
  /// instances must not be retried through the whole pool.
  static constexpr std::size_t MaxLostAttempts = 2;

  /// In phase Answered the caller has its answer, but attempts of a claimed
  /// request are still live and their result is stored with the claim.
  enum class Phase { Claiming, Waiting, Forwarded, Running, Answered };

  RequestExecution(std::shared_ptr<const Request> Received,
                   const Profile &ServiceProfile, TimePoint Deadline);

  const Request &request() const { return *Request_; }
  const std::shared_ptr<const Request> &sharedRequest() const {
    return Request_;
  }
  TimePoint deadline() const { return Deadline_; }
  ClassWeight weight() const { return Weight_; }
  /// None if the configuration has no teams, and for public routes also if the
  /// key is unknown.
  const std::optional<TeamName> &team() const { return Request_->Team_; }
  /// Replaces the weight of the route.
  void setWeight(ClassWeight Weight) { Weight_ = Weight; }
  /// Empty for a request that names its service.
  const RouteName &route() const { return Route_; }
  void setRoute(RouteName Route) { Route_ = std::move(Route); }
  Fingerprint fingerprint() const { return Fingerprint_; }
  bool isRepeatable() const { return IsRepeatable_; }
  bool isHedgingAllowed() const { return IsHedgingAllowed_; }
  /// True for a request that runs at most once and has an idempotency key: it
  /// must claim the key before its first dispatch.
  bool needsClaim() const { return NeedsClaim_; }
  bool isClaimed() const { return IsClaimed_; }

  Phase phase() const { return Phase_; }
  void setPhase(Phase Next) { Phase_ = Next; }
  void grantClaim() { IsClaimed_ = true; }

  /// Limits the number of instances that may run the request. MaxAttempts stays
  /// in force.
  void limitAttempts(AttemptCount Limit) { AttemptLimit_ = Limit; }
  /// True when the limits permit another attempt and it cannot make a
  /// request that is not repeatable run twice.
  bool canDispatch() const;
  void beginAttempt(AttemptId Attempt, const InstanceId &Instance);
  void endAttempt(AttemptId Attempt, AttemptResult Result);

  /// Attempts whose end has not been reported.
  const std::vector<AttemptId> &liveAttempts() const { return LiveAttempts_; }
  const std::vector<InstanceId> &triedInstances() const {
    return TriedInstances_;
  }
  bool hasBeenDispatched() const { return !TriedInstances_.empty(); }

  void beginForward(MemberId Home);
  /// `MayHaveRun` is false only if the home certainly did not run the request.
  void endForward(bool MayHaveRun);
  const MemberId &home() const { return Home_; }
  std::size_t forwards() const { return Forwards_; }

  /// True when an attempt or a forward has ended that may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }
  /// Outcome that is certain if the request is refused now. A request that
  /// needs a claim is Unknown until the claim is granted: an earlier copy may
  /// have run.
  Outcome knownOutcome() const;

private:
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
  ClassWeight Weight_;
  RouteName Route_;
  Fingerprint Fingerprint_;
  bool IsRepeatable_;
  bool IsHedgingAllowed_;
  bool NeedsClaim_;
  bool IsClaimed_ = false;
  bool MayHaveRun_ = false;
  Phase Phase_ = Phase::Waiting;
  std::vector<AttemptId> LiveAttempts_;
  std::vector<InstanceId> TriedInstances_;
  /// Attempts, live ones included, that may have run the request.
  std::size_t PossibleRuns_ = 0;
  AttemptCount AttemptLimit_{MaxAttempts};
  std::size_t LostAttempts_ = 0;
  MemberId Home_;
  std::size_t Forwards_ = 0;
};

} // namespace jaybridge
