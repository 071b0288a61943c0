#include <LibRouting/RequestExecution.h>

#include <LibCore/Verify.h>

namespace jaybridge {

RequestExecution::RequestExecution(std::shared_ptr<const Request> Received,
                                   const Profile &ServiceProfile,
                                   TimePoint Deadline)
    : Request_(std::move(Received)), Deadline_(Deadline),
      Weight_(ServiceProfile.weight()), Fingerprint_(fingerprintOf(*Request_)),
      IsRepeatable_(ServiceProfile.isRepeatable()),
      IsHedgingAllowed_(ServiceProfile.isHedgingAllowed()),
      NeedsClaim_(!IsRepeatable_ && Request_->Key_.has_value()) {}

bool RequestExecution::canDispatch() const {
  if (Phase_ == Phase::Answered || Phase_ == Phase::Forwarded)
    return false;
  if (NeedsClaim_ && !IsClaimed_)
    return false;
  if (TriedInstances_.size() >= MaxAttempts ||
      PossibleRuns_ >= AttemptLimit_.value() ||
      LostAttempts_ >= MaxLostAttempts)
    return false;
  return IsRepeatable_ || (!MayHaveRun_ && LiveAttempts_.empty());
}

void RequestExecution::beginAttempt(AttemptId Attempt,
                                    const InstanceId &Instance) {
  JAYBRIDGE_VERIFY(canDispatch());
  LiveAttempts_.push_back(Attempt);
  TriedInstances_.push_back(Instance);
  ++PossibleRuns_;
  Phase_ = Phase::Running;
}

void RequestExecution::endAttempt(AttemptId Attempt, AttemptResult Result) {
  auto Removed = std::erase(LiveAttempts_, Attempt);
  JAYBRIDGE_VERIFY(Removed == 1);
  if (isProvablyNotRun(Result))
    --PossibleRuns_;
  else
    MayHaveRun_ = true;
  if (Result == AttemptResult::ConnectionLost)
    ++LostAttempts_;
}

void RequestExecution::beginForward(MemberId Home) {
  JAYBRIDGE_VERIFY(!hasBeenDispatched() && (IsRepeatable_ || !MayHaveRun_));
  Home_ = std::move(Home);
  ++Forwards_;
  Phase_ = Phase::Forwarded;
}

void RequestExecution::endForward(bool MayHaveRun) {
  JAYBRIDGE_VERIFY(Phase_ == Phase::Forwarded);
  MayHaveRun_ = MayHaveRun_ || MayHaveRun;
  Phase_ = Phase::Waiting;
}

Outcome RequestExecution::knownOutcome() const {
  if (NeedsClaim_ && !IsClaimed_)
    return Outcome::Unknown;
  if (MayHaveRun_ || !LiveAttempts_.empty() || Phase_ == Phase::Forwarded)
    return Outcome::Unknown;
  return Outcome::NotRun;
}

} // namespace jaybridge
