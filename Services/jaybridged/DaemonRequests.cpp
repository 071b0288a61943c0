#include <Daemon.h>

namespace jaybridge {

RequestPathSinks Daemon::requestSinks() {
  RequestPathSinks Sinks;
  Sinks.Claim_ = [this](ClaimKey Claim) {
    const Request &Received = *Claim.Request_;
    return post(Ledger_,
                ClaimRequested{Received.Id_, *Received.Key_,
                               fingerprintOf(Received), Claim.Deadline_});
  };
  Sinks.Release_ = [this](ReleaseKey Release) {
    return post(Ledger_, ReleaseRequested{Release.Id_});
  };
  Sinks.Finish_ = [this](FinishKey Finish) {
    return post(Ledger_,
                FinishRequested{Finish.Id_, std::move(Finish.Answer_)});
  };
  Sinks.Observe_ = [this](ReportAttempt Attempt) {
    post(*Authority_, AttemptObserved{Attempt.Service_, Attempt.Instance_,
                                      Attempt.Result_, Attempt.Status_,
                                      Attempt.Elapsed_, Attempt.Fingerprint_});
  };
  Sinks.Forward_ = [this](ForwardRequest Forwarded) {
    return forward(std::move(Forwarded));
  };
  Sinks.CancelForward_ = [this](CancelForward Cancelled) {
    Forwards_.remove(Cancelled.Home_, Cancelled.Id_);
    send(Cancelled.Home_, ForwardMessage(ForwardCancelled{Cancelled.Id_}));
  };
  Sinks.AnswerForward_ = [this](MemberId To, AnswerCaller Answered) {
    send(To, ForwardMessage(
                 ForwardAnswered{Answered.Id_, std::move(Answered.Answer_)}));
  };
  Sinks.Record_ = [this](RecordStep Step) { post(History_, std::move(Step)); };
  Sinks.ReceiveBudgetChanged_ = [this](bool IsShort) {
    Log_.writeStateChange(LogLevel::Warning, "receive-memory",
                          IsShort ? "short" : "free");
  };
  return Sinks;
}

bool Daemon::forward(ForwardRequest Forwarded) {
  Forwards_.add(Forwarded.Home_, Forwarded.Request_->Id_);
  if (Peers_.send(Forwarded.Home_,
                  ForwardMessage(ForwardedRequest{Forwarded.Request_,
                                                  Forwarded.Deadline_})))
    return true;
  Forwards_.remove(Forwarded.Home_, Forwarded.Request_->Id_);
  return false;
}

void Daemon::receiveForward(const MemberId &From, ForwardMessage Message) {
  std::visit(
      Overloaded{
          [&](ForwardedRequest &Forwarded) {
            if (RequestPath_->postForwarded(Forwarded.Request_))
              return;
            RingsFull_.add();
            send(
                From,
                ForwardMessage(ForwardAnswered{
                    Forwarded.Request_->Id_,
                    Answer(Refusal{Outcome::NotRun, RefusalReason::Overloaded,
                                   std::chrono::seconds(1),
                                   "the home daemon's event queue is full"})}));
          },
          [&](ForwardAnswered &Answered) {
            Forwards_.remove(From, Answered.Id_);
            RequestPath_->post(std::move(Answered));
          },
          [&](ForwardCancelled &Cancelled) {
            RequestPath_->post(CallerDisconnected{std::move(Cancelled.Id_)});
          },
      },
      Message);
}

// The home daemon may have run the request, so that the outcome is unknown. The
// gateway decides whether the request is sent again.
void Daemon::failForwards(const std::vector<RequestId> &Ids) {
  for (const RequestId &Id : Ids)
    RequestPath_->post(ForwardAnswered{
        Id,
        Answer(Refusal{Outcome::Unknown, RefusalReason::HomeLost, std::nullopt,
                       "the connection to the home daemon ended"})});
}

void Daemon::startLedger() {
  Ledger_.start([this](LedgerService::Effect Effect) {
    return deliver(std::move(Effect));
  });
}

std::optional<LedgerService::Event>
Daemon::deliver(LedgerService::Effect Effect) {
  using Returned = std::optional<LedgerService::Event>;
  return std::visit(
      Overloaded{
          [this](SendToReplica &Send) -> Returned {
            if (Send.Replica_ == Self_)
              return LedgerRequestReceived{Self_, std::move(Send.Message_),
                                           wallNow()};
            send(Send.Replica_, Send.Message_);
            return std::nullopt;
          },
          [this](SendToClaimant &Send) -> Returned {
            if (Send.Claimant_ == Self_)
              return LedgerReplyReceived{Self_, std::move(Send.Message_)};
            send(Send.Claimant_, Send.Message_);
            return std::nullopt;
          },
          [this](ClaimSettled &Settled) -> Returned {
            ClaimDecision Decision = ClaimGranted{};
            if (Settled.Answer_)
              Decision = std::move(*Settled.Answer_);
            RequestPath_->post(
                ClaimDecided{Settled.Request_, std::move(Decision)});
            return std::nullopt;
          },
      },
      Effect);
}

} // namespace jaybridge
