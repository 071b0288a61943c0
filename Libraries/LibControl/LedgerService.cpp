#include <LibControl/LedgerService.h>

namespace jaybridge {

void LedgerService::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  std::visit(
      Overloaded{
          [&](const LedgerRequestReceived &Request) {
            handleReplicaRequest(Request, Out);
          },
          [&](const auto &Event) { Claims_.handle(Event, Now, ClaimEffects_); },
      },
      Incoming);
  forwardClaimEffects(Out);
}

void LedgerService::advance(TimePoint Now, Effects &Out) {
  Claims_.advance(Now, ClaimEffects_);
  forwardClaimEffects(Out);
}

void LedgerService::handleReplicaRequest(const LedgerRequestReceived &Incoming,
                                         Effects &Out) {
  if (!Replica_)
    return;
  if (auto Reply = Replica_->handle(Incoming.Message_, Incoming.At_))
    Out.emplace_back(SendToClaimant{Incoming.Claimant_, std::move(*Reply)});
}

void LedgerService::forwardClaimEffects(Effects &Out) {
  for (ClaimCoordinator::Effect &Pending : ClaimEffects_)
    std::visit([&](auto &Effect) { Out.emplace_back(std::move(Effect)); },
               Pending);
  ClaimEffects_.clear();
}

} // namespace jaybridge
