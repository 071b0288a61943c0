#pragma once

#include <LibLedger/ClaimCoordinator.h>
#include <LibLedger/LedgerReplica.h>

#include <optional>

namespace jaybridge {

/// Event: a claimant sent a request to the replica on this control member.
struct LedgerRequestReceived {
  MemberId Claimant_;
  LedgerRequest Message_;
  WallTime At_;
};

/// Effect: sends a reply of the replica to a claimant.
struct SendToClaimant {
  MemberId Claimant_;
  LedgerReply Message_;
};

/// Ledger role of a daemon. Coordinates the claims of its gateway and, on a
/// control member, hosts a replica of the records.
class LedgerService {
public:
  using Event = std::variant<ClaimRequested, ReleaseRequested, FinishRequested,
                             LedgerReplyReceived, LedgerRequestReceived>;
  using Effect = std::variant<SendToReplica, SendToClaimant, ClaimSettled>;
  using Effects = std::vector<Effect>;

  LedgerService(ClaimCoordinator Claims, std::optional<LedgerReplica> Replica)
      : Claims_(std::move(Claims)), Replica_(std::move(Replica)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const {
    return Claims_.nextDeadline();
  }

private:
  void handleReplicaRequest(const LedgerRequestReceived &Incoming,
                            Effects &Out);
  void forwardClaimEffects(Effects &Out);

  ClaimCoordinator Claims_;
  std::optional<LedgerReplica> Replica_;
  std::vector<ClaimCoordinator::Effect> ClaimEffects_;
};

static_assert(DecisionRole<LedgerService>);

} // namespace jaybridge
