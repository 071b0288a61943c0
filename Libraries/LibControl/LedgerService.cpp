#include <LibControl/LedgerService.h>

namespace jaybridge {

void LedgerService::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  std::visit(
      Overloaded{
          [&](const LedgerRequestReceived &Request) {
            serveClaimant(Request, Out);
          },
          [&](const auto &Other) { Claims_.handle(Other, Now, ClaimEffects_); },
      },
      Incoming);
  forwardClaimEffects(Out);
}

void LedgerService::advance(TimePoint Now, Effects &Out) {
  Claims_.advance(Now, ClaimEffects_);
  forwardClaimEffects(Out);
}

void LedgerService::serveClaimant(const LedgerRequestReceived &Incoming,
                                  Effects &Out) {
  if (!Replica_)
    return;
  if (auto Reply = Replica_->handle(Incoming.Message_, Incoming.At_))
    Out.emplace_back(SendToClaimant{Incoming.Claimant_, std::move(*Reply)});
}

void LedgerService::forwardClaimEffects(Effects &Out) {
  for (ClaimCoordinator::Effect &Each : ClaimEffects_)
    std::visit([&](auto &Inner) { Out.emplace_back(std::move(Inner)); }, Each);
  ClaimEffects_.clear();
}

} // namespace jaybridge
