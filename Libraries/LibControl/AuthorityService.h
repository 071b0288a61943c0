#pragma once

#include <LibControl/AuthorityFinder.h>
#include <LibControl/AuthorityMessages.h>

#include <map>

namespace jaybridge {

struct AuthorityServiceSettings {
  MemberId Self_;
  std::vector<MemberId> ControlMembers_;
  /// Wall time at TimePoint(), for audit entries.
  WallTime WallTimeAtOrigin_;
};

/// A daemon's part in detection: it reports what its attempts showed, competes
/// for the authority over services, and decides on ejections where it holds it.
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
  void on(const AttemptObserved &Seen, TimePoint Now, Effects &Out);
  void on(const FromMember<EvidenceReport> &Got, TimePoint Now, Effects &Out);
  void on(const FromMember<EjectionAnswer> &Got, TimePoint Now, Effects &Out);
  void on(const FromMember<LeaseMessage> &Got, TimePoint Now, Effects &Out);
  void on(const MemberChanged &Changed, TimePoint Now, Effects &Out);
  void on(const InstanceUpdated &Updated, TimePoint Now, Effects &Out);
  void on(const CatalogApplied &Catalog, TimePoint Now, Effects &Out);
  void on(const ProbeResult &Probed, TimePoint Now, Effects &Out);

  /// Passes an event to the authority for the service, if it is held here.
  void feed(const ServiceName &Service, const EjectionAuthority::Event &Given,
            TimePoint Now, Effects &Out);
  void updatePool(const ServiceName &Service, TimePoint Now, Effects &Out);

  void settle(TimePoint Now, Effects &Out);
  void apply(SendReport &Send, TimePoint Now, Effects &Out);
  void apply(EjectionsApplied &Applied, TimePoint Now, Effects &Out);
  void apply(QuarantineApplied &Applied, TimePoint Now, Effects &Out);
  void apply(SendToMember<LeaseMessage> &Send, TimePoint Now, Effects &Out);
  void apply(LeaseHeld &Held, TimePoint Now, Effects &Out);
  void apply(LeaseLost &Lost, TimePoint Now, Effects &Out);
  void applyDecisions(const ServiceName &Service,
                      std::vector<EjectionAuthority::Effect> &Decisions,
                      TimePoint Now, Effects &Out);
  AuditEntry auditOf(const EjectionAct &Act, TimePoint Now) const;
  AuditEntry auditOf(const LeaseHeld &Held, TimePoint Now) const;
  WallTime wallTime(TimePoint Now) const;

  AuthorityServiceSettings Settings_;
  EvidenceReporter Reporter_;
  LeaseCandidate Candidate_;
  std::optional<LeaseVoter> Voter_;
  AuthorityFinder Finder_;
  std::map<ServiceName, ServicePolicy> Policies_;
  std::map<ServiceName, std::map<InstanceId, InstanceRecord>> Instances_;
  /// Authorities held now or earlier; they know which lists are still in force.
  std::map<ServiceName, EjectionAuthority> Authorities_;
  std::map<ServiceName, FenceNumber> Fences_;
  std::vector<EvidenceReporter::Effect> ReporterEffects_;
  std::vector<LeaseCandidate::Effect> CandidateEffects_;
  std::vector<LeaseVoter::Effect> VoterEffects_;
};

static_assert(DecisionRole<AuthorityService>);

} // namespace jaybridge
