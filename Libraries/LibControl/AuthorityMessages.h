#pragma once

#include <LibControl/FleetMessages.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>
#include <LibLease/LeaseCandidate.h>
#include <LibLease/LeaseVoter.h>
#include <LibTrace/AuditTrail.h>

#include <variant>

namespace jaybridge {

struct ProbeFinished {
  ServiceName Service_;
  InstanceId Instance_;
  bool IsHealthy_ = false;
};

struct ProbeAsked {
  ServiceName Service_;
  InstanceId Instance_;
  Endpoint Address_;
};

using AuthorityEvent =
    std::variant<AttemptObserved, FromMember<EvidenceReport>,
                 FromMember<EjectionList>, FromMember<LeaseMessage>,
                 MemberChanged, InstanceUpdated, CatalogInForce, ProbeFinished>;

using AuthorityEffect =
    std::variant<SendToMember<EvidenceReport>, SendToMember<EjectionList>,
                 SendToMember<LeaseMessage>, EjectionListChanged,
                 QuarantineListChanged, ProbeAsked, AuditEntry>;

} // namespace jaybridge
