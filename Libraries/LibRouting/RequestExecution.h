#pragma once

#include <LibProfile/Profile.h>
#include <LibRouting/GatewayMessages.h>

#include <algorithm>

namespace jaybridge {

/// One request in progress. It knows which attempts it has had and so what is
/// certain about its execution; nothing else may decide that.
class RequestExecution {
public:
  /// Attempts of one request, retries and hedges included.
  static constexpr std::size_t GreatestAttempts = 4;
  /// Attempts that may end in a lost connection: a request that crashes its
  /// instances must not go through the whole pool.
  static constexpr std::size_t GreatestLostAttempts = 2;

  enum class Phase { Claiming, Waiting, Forwarded, Running, Settling };

  RequestExecution(std::shared_ptr<const Request> Received,
                   const Profile &Rules, TimePoint Deadline);

  const Request &request() const { return *Request_; }
  const std::shared_ptr<const Request> &sharedRequest() const {
    return Request_;
  }
  TimePoint deadline() const { return Deadline_; }
  ClassWeight weight() const { return Weight_; }
  Fingerprint fingerprint() const { return Fingerprint_; }
  bool isRepeatable() const { return IsRepeatable_; }
  bool isHedgingAllowed() const { return IsHedgingAllowed_; }
  /// Requests that run at most once and carry a key need a claim before their
  /// first dispatch.
  bool needsClaim() const { return NeedsClaim_; }
  bool isClaimed() const { return IsClaimed_; }

  Phase phase() const { return Phase_; }
  void setPhase(Phase Next) { Phase_ = Next; }
  void grantClaim() { IsClaimed_ = true; }

  /// Bounds the instances that may run the request below GreatestAttempts.
  void limitAttempts(AttemptCount Limit) { AttemptLimit_ = Limit; }
  /// Another dispatch cannot make the request run twice against its profile.
  bool canDispatch() const;
  void beginAttempt(AttemptId Attempt, const InstanceId &Instance);
  void endAttempt(AttemptId Attempt, AttemptResult Result);

  /// Attempts that have not ended.
  const std::vector<AttemptId> &liveAttempts() const { return Live_; }
  const std::vector<InstanceId> &triedInstances() const { return Tried_; }
  bool hasBeenDispatched() const { return !Tried_.empty(); }

  void beginForward(MemberId Home);
  /// The home certainly did not run the request, or it may have.
  void endForward(bool MayHaveRun);
  const MemberId &home() const { return Home_; }
  std::size_t forwards() const { return Forwards_; }

  /// An attempt or forward that ended may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }
  /// What is certain now if no answer arrives. A request that needs a claim is
  /// Unknown until the claim is granted: an earlier copy may have run.
  Outcome certainty() const;

private:
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
  ClassWeight Weight_;
  Fingerprint Fingerprint_;
  bool IsRepeatable_;
  bool IsHedgingAllowed_;
  bool NeedsClaim_;
  bool IsClaimed_ = false;
  bool MayHaveRun_ = false;
  Phase Phase_ = Phase::Waiting;
  std::vector<AttemptId> Live_;
  std::vector<InstanceId> Tried_;
  /// Attempts that an instance may have run.
  std::size_t Arrived_ = 0;
  AttemptCount AttemptLimit_{GreatestAttempts};
  std::size_t LostAttempts_ = 0;
  MemberId Home_;
  std::size_t Forwards_ = 0;
};

} // namespace jaybridge
