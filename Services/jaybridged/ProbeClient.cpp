#include <ProbeClient.h>

#include <LibRuntime/SystemClock.h>

namespace jaybridge {

Result<std::unique_ptr<ProbeClient>> ProbeClient::create(MemberId Self,
                                                         Sink OnFinished) {
  std::unique_ptr<ProbeClient> Created(
      new ProbeClient(std::move(Self), std::move(OnFinished)));
  JAYBRIDGE_TRY(
      Created->Client_,
      UpstreamClient::create(UpstreamClientOptions{},
                             [Probes = Created.get()](AttemptFinished Attempt) {
                               Probes->finish(Attempt);
                             }));
  return Created;
}

void ProbeClient::probe(const ProbeRequest &Probe) {
  Request Health;
  Health.Id_ = RequestId(Self_.text() + "-probe");
  Health.Service_ = Probe.Service_;
  Health.Method_ = "GET";
  Health.Target_ = "/health";
  Health.Body_ = std::make_shared<const std::string>();
  AttemptId Id;
  {
    std::lock_guard Lock(Mutex_);
    LastAttempt_ = LastAttempt_.next();
    Id = LastAttempt_;
    Pending_.emplace(Id, Probe);
  }
  bool IsStarted = Client_->start(
      SendAttempt{Id, Probe.Instance_, Probe.Address_,
                  std::make_shared<const Request>(std::move(Health)),
                  monotonicNow() + ProbeTimeout});
  if (!IsStarted) {
    std::lock_guard Lock(Mutex_);
    Pending_.erase(Id);
  }
}

void ProbeClient::finish(const AttemptFinished &Attempt) {
  constexpr StatusCode HealthyStatus(200);
  std::optional<ProbeRequest> Probe;
  {
    std::lock_guard Lock(Mutex_);
    if (auto Found = Pending_.find(Attempt.Attempt_); Found != Pending_.end()) {
      Probe = std::move(Found->second);
      Pending_.erase(Found);
    }
  }
  if (!Probe || Attempt.Outcome_.Result_ == AttemptResult::Cancelled)
    return;
  bool IsHealthy = Attempt.Outcome_.Result_ == AttemptResult::Answered &&
                   Attempt.Outcome_.Response_.Status_ == HealthyStatus;
  OnFinished_(ProbeResult{Probe->Service_, Probe->Instance_, IsHealthy});
}

} // namespace jaybridge
