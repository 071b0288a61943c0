#pragma once

#include <LibControl/FleetMessages.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>
#include <LibLease/LeaseCandidate.h>
#include <LibLease/LeaseVoter.h>
#include <LibTrace/AuditTrail.h>

#include <variant>

namespace jaybridge {

/// Event: the health probe of a ProbeRequest has ended.
struct ProbeResult {
  ServiceName Service_;
  InstanceId Instance_;
  bool IsHealthy_ = false;
};

/// Effect: sends a health probe to an instance.
struct ProbeRequest {
  ServiceName Service_;
  InstanceId Instance_;
  Endpoint Address_;
};

using AuthorityEvent =
    std::variant<AttemptObserved, FromMember<EvidenceReport>,
                 FromMember<EjectionList>, FromMember<LeaseMessage>,
                 MemberChanged, InstanceUpdated, CatalogApplied, ProbeResult>;

using AuthorityEffect =
    std::variant<SendToMember<EvidenceReport>, SendToMember<EjectionList>,
                 SendToMember<LeaseMessage>, EjectionListChanged,
                 QuarantineListChanged, ProbeRequest, AuditEntry>;

} // namespace jaybridge
