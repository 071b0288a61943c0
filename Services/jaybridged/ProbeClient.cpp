#include <ProbeClient.h>

#include <LibRuntime/SystemClock.h>

namespace jaybridge {

Result<std::unique_ptr<ProbeClient>> ProbeClient::create(MemberId Self,
                                                         Sink Finished) {
  std::unique_ptr<ProbeClient> Created(
      new ProbeClient(std::move(Self), std::move(Finished)));
  JAYBRIDGE_TRY(
      Created->Client_,
      UpstreamClient::create(UpstreamClientOptions{},
                             [Probes = Created.get()](AttemptFinished Ended) {
                               Probes->finish(Ended);
                             }));
  return Created;
}

void ProbeClient::probe(const ProbeRequest &Asked) {
  Request Health;
  Health.Id_ = RequestId(Self_.text() + "-probe");
  Health.Service_ = Asked.Service_;
  Health.Method_ = "GET";
  Health.Target_ = "/health";
  Health.Body_ = std::make_shared<const std::string>();
  AttemptId Attempt;
  {
    std::lock_guard Lock(Mutex_);
    Last_ = Last_.next();
    Attempt = Last_;
    Open_.emplace(Attempt, Asked);
  }
  bool IsStarted = Client_->start(
      SendAttempt{Attempt, Asked.Instance_, Asked.Address_,
                  std::make_shared<const Request>(std::move(Health)),
                  monotonicNow() + ProbeLimit});
  if (!IsStarted) {
    std::lock_guard Lock(Mutex_);
    Open_.erase(Attempt);
  }
}

void ProbeClient::finish(const AttemptFinished &Ended) {
  constexpr StatusCode Success(200);
  std::optional<ProbeRequest> Asked;
  {
    std::lock_guard Lock(Mutex_);
    if (auto Found = Open_.find(Ended.Attempt_); Found != Open_.end()) {
      Asked = std::move(Found->second);
      Open_.erase(Found);
    }
  }
  if (!Asked || Ended.Outcome_.Result_ == AttemptResult::Cancelled)
    return;
  bool IsHealthy = Ended.Outcome_.Result_ == AttemptResult::Answered &&
                   Ended.Outcome_.Response_.Status_ == Success;
  Finished_(ProbeResult{Asked->Service_, Asked->Instance_, IsHealthy});
}

} // namespace jaybridge
