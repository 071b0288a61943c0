#pragma once

#include <LibControl/AuthorityFinder.h>
#include <LibControl/AuthorityMessages.h>

#include <map>

namespace jaybridge {

struct AuthorityServiceSettings {
  MemberId Self_;
  std::vector<MemberId> ControlMembers_;
  /// Wall time at TimePoint(), which dates audit entries.
  WallTime WallTimeAtOrigin_;
};

/// Outlier detection on one daemon. Reports the outcomes of the daemon's
/// attempts, competes for the authority lease of each service, and decides on
/// ejections while it holds the lease.
class AuthorityService {
public:
  using Event = AuthorityEvent;
  using Effect = AuthorityEffect;
  using Effects = std::vector<Effect>;

  AuthorityService(AuthorityServiceSettings Settings, EvidenceReporter Reporter,
                   LeaseCandidate Candidate, std::optional<LeaseVoter> Voter);

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

private:
  void handleEvent(const AttemptObserved &Observed, TimePoint Now,
                   Effects &Out);
  void handleEvent(const FromMember<EvidenceReport> &Received, TimePoint Now,
                   Effects &Out);
  void handleEvent(const FromMember<EjectionList> &Received, TimePoint Now,
                   Effects &Out);
  void handleEvent(const FromMember<LeaseMessage> &Received, TimePoint Now,
                   Effects &Out);
  void handleEvent(const MemberChanged &Changed, TimePoint Now, Effects &Out);
  void handleEvent(const InstanceUpdated &Updated, TimePoint Now, Effects &Out);
  void handleEvent(const CatalogApplied &Applied, TimePoint Now, Effects &Out);
  void handleEvent(const ProbeResult &Probe, TimePoint Now, Effects &Out);

  /// Passes an event to the EjectionAuthority of the service, if this daemon
  /// has one.
  void passToAuthority(const ServiceName &Service,
                       const EjectionAuthority::Event &Forwarded, TimePoint Now,
                       Effects &Out);
  /// Passes the current instances and policy of the service to its authority.
  void updatePool(const ServiceName &Service, TimePoint Now, Effects &Out);

  /// Applies the effects of the reporter, the candidate and the voter until
  /// none is left.
  void processEffects(TimePoint Now, Effects &Out);
  void apply(SendEvidenceReport &Send, TimePoint Now, Effects &Out);
  void apply(EjectionListChanged &Changed, TimePoint Now, Effects &Out);
  void apply(QuarantineListChanged &Changed, TimePoint Now, Effects &Out);
  void apply(SendToMember<LeaseMessage> &Send, TimePoint Now, Effects &Out);
  void apply(LeaseHeld &Held, TimePoint Now, Effects &Out);
  void apply(LeaseLost &Lost, TimePoint Now, Effects &Out);
  void applyAuthorityEffects(
      const ServiceName &Service,
      std::vector<EjectionAuthority::Effect> &AuthorityEffects, TimePoint Now,
      Effects &Out);
  AuditEntry makeAuditEntry(const EjectionDecision &Decision,
                            TimePoint Now) const;
  AuditEntry makeAuditEntry(const LeaseHeld &Held, TimePoint Now) const;
  WallTime wallTimeAt(TimePoint Now) const;

  AuthorityServiceSettings Settings_;
  EvidenceReporter Reporter_;
  LeaseCandidate Candidate_;
  std::optional<LeaseVoter> Voter_;
  AuthorityFinder Finder_;
  std::map<ServiceName, ServicePolicy> Policies_;
  std::map<ServiceName, std::map<InstanceId, InstanceRecord>> Instances_;
  /// Authorities of the services whose lease this daemon holds or once held. A
  /// former authority knows which ejection lists are still valid.
  std::map<ServiceName, EjectionAuthority> Authorities_;
  /// Fence of the last lease that this daemon held for each service.
  std::map<ServiceName, FenceNumber> Fences_;
  std::vector<EvidenceReporter::Effect> ReporterEffects_;
  std::vector<LeaseCandidate::Effect> CandidateEffects_;
  std::vector<LeaseVoter::Effect> VoterEffects_;
};

static_assert(DecisionRole<AuthorityService>);

} // namespace jaybridge
