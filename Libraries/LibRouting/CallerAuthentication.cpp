#include <LibRouting/CallerAuthentication.h>

#include <iterator>

namespace jaybridge {

CallerAuthentication::CallerAuthentication(const TeamDirectory &Teams,
                                           const Route &Matched,
                                           const Request &Received)
    : HasTeams_(!Teams.isEmpty()),
      Team_(Received.Credential_ ? Teams.findByKey(*Received.Credential_)
                                 : nullptr),
      IsRefused_(HasTeams_ && !Team_ && !Matched.Values_.IsPublic_) {}

void CallerAuthentication::identify(Request &Routed) const {
  if (!HasTeams_)
    std::move(Routed.IdentityHeaders_.begin(), Routed.IdentityHeaders_.end(),
              std::back_inserter(Routed.Headers_));
  Routed.IdentityHeaders_.clear();
  Routed.Credential_.reset();
  if (Team_)
    Routed.Team_ = Team_->Name_;
}

} // namespace jaybridge
