#include <Daemon.h>

namespace jaybridge {

RequestPathOutlets Daemon::requestOutlets() {
  RequestPathOutlets Outlets;
  Outlets.Claim_ = [this](ClaimKey Asked) {
    const Request &Received = *Asked.Request_;
    return post(Ledger_,
                ClaimRequested{Received.Id_, *Received.Key_,
                               fingerprintOf(Received), Asked.Deadline_});
  };
  Outlets.Release_ = [this](ReleaseKey Asked) {
    return post(Ledger_, ReleaseRequested{Asked.Id_});
  };
  Outlets.Finish_ = [this](FinishKey Asked) {
    return post(Ledger_, FinishRequested{Asked.Id_, std::move(Asked.Answer_)});
  };
  Outlets.Observe_ = [this](ReportAttempt Seen) {
    post(*Authority_,
         AttemptObserved{Seen.Service_, Seen.Instance_, Seen.Result_,
                         Seen.Status_, Seen.Elapsed_, Seen.Fingerprint_});
  };
  Outlets.Forward_ = [this](ForwardRequest Asked) {
    return forward(std::move(Asked));
  };
  Outlets.CancelForward_ = [this](CancelForward Cancelled) {
    Forwards_.remove(Cancelled.Home_, Cancelled.Id_);
    send(Cancelled.Home_, ForwardMessage(ForwardCancelled{Cancelled.Id_}));
  };
  Outlets.AnswerForward_ = [this](MemberId To, AnswerCaller Answered) {
    send(To, ForwardMessage(
                 ForwardAnswered{Answered.Id_, std::move(Answered.Answer_)}));
  };
  Outlets.Record_ = [this](RecordStep Step) {
    post(History_, std::move(Step));
  };
  return Outlets;
}

bool Daemon::forward(ForwardRequest Asked) {
  Forwards_.add(Asked.Home_, Asked.Request_->Id_);
  if (Peers_.send(Asked.Home_, ForwardMessage(ForwardedRequest{
                                   Asked.Request_, Asked.Deadline_})))
    return true;
  Forwards_.remove(Asked.Home_, Asked.Request_->Id_);
  return false;
}

void Daemon::receiveForward(const MemberId &From, ForwardMessage Message) {
  std::visit(
      Overloaded{
          [&](ForwardedRequest &Forwarded) {
            if (Requests_->postForwarded(Forwarded.Request_))
              return;
            RingsFull_.add();
            send(From,
                 ForwardMessage(ForwardAnswered{
                     Forwarded.Request_->Id_,
                     Answer(Refusal{Outcome::NotRun, RefusalReason::Overloaded,
                                    std::chrono::seconds(1),
                                    "the home's ring is full"})}));
          },
          [&](ForwardAnswered &Answered) {
            Forwards_.remove(From, Answered.Id_);
            Requests_->post(std::move(Answered));
          },
          [&](ForwardCancelled &Cancelled) {
            Requests_->post(CallerDisconnected{std::move(Cancelled.Id_)});
          },
      },
      Message);
}

// The home may have run the request; the gateway decides what follows.
void Daemon::loseForwards(const std::vector<RequestId> &Lost) {
  for (const RequestId &Id : Lost)
    Requests_->post(ForwardAnswered{
        Id, Answer(Refusal{Outcome::Unknown, RefusalReason::HomeLost,
                           std::nullopt, "the connection to the home ended"})});
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
          [this](SendToReplica &Out) -> Returned {
            if (Out.Replica_ == Self_)
              return LedgerRequestReceived{Self_, std::move(Out.Message_),
                                           wallNow()};
            send(Out.Replica_, Out.Message_);
            return std::nullopt;
          },
          [this](SendToClaimant &Out) -> Returned {
            if (Out.Claimant_ == Self_)
              return LedgerReplyReceived{Self_, std::move(Out.Message_)};
            send(Out.Claimant_, Out.Message_);
            return std::nullopt;
          },
          [this](ClaimSettled &Settled) -> Returned {
            ClaimDecision Decision = ClaimGranted{};
            if (Settled.Answer_)
              Decision = std::move(*Settled.Answer_);
            Requests_->post(
                ClaimDecided{Settled.Request_, std::move(Decision)});
            return std::nullopt;
          },
      },
      Effect);
}

} // namespace jaybridge
