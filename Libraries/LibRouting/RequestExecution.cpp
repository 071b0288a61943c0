#include <LibRouting/RequestExecution.h>

#include <LibCore/Verify.h>

namespace jaybridge {

RequestExecution::RequestExecution(std::shared_ptr<const Request> Received,
                                   const Profile &Rules, TimePoint Deadline)
    : Request_(std::move(Received)), Deadline_(Deadline),
      Weight_(Rules.weight()), Fingerprint_(fingerprintOf(*Request_)),
      IsRepeatable_(Rules.isRepeatable()),
      IsHedgingAllowed_(Rules.isHedgingAllowed()),
      NeedsClaim_(!IsRepeatable_ && Request_->Key_.has_value()) {}

bool RequestExecution::canDispatch() const {
  if (Phase_ == Phase::Settling || Phase_ == Phase::Forwarded)
    return false;
  if (NeedsClaim_ && !IsClaimed_)
    return false;
  if (Tried_.size() >= GreatestAttempts || Arrived_ >= AttemptLimit_.value() ||
      LostAttempts_ >= GreatestLostAttempts)
    return false;
  return IsRepeatable_ || (!MayHaveRun_ && Live_.empty());
}

void RequestExecution::beginAttempt(AttemptId Attempt,
                                    const InstanceId &Instance) {
  JAYBRIDGE_VERIFY(canDispatch());
  Live_.push_back(Attempt);
  Tried_.push_back(Instance);
  ++Arrived_;
  Phase_ = Phase::Running;
}

void RequestExecution::endAttempt(AttemptId Attempt, AttemptResult Result) {
  auto Removed = std::erase(Live_, Attempt);
  JAYBRIDGE_VERIFY(Removed == 1);
  if (isProvablyNotRun(Result))
    --Arrived_;
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

Outcome RequestExecution::certainty() const {
  if (NeedsClaim_ && !IsClaimed_)
    return Outcome::Unknown;
  if (MayHaveRun_ || !Live_.empty() || Phase_ == Phase::Forwarded)
    return Outcome::Unknown;
  return Outcome::NotRun;
}

} // namespace jaybridge
