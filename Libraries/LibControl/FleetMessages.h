#pragma once

#include <LibControl/ConfigurationMessages.h>
#include <LibControl/QueryId.h>
#include <LibDetection/EvidenceReporter.h>
#include <LibDirectory/ConfigurationDistributor.h>
#include <LibDirectory/InstanceDirectory.h>
#include <LibMembership/Membership.h>
#include <LibRouting/GatewayMessages.h>

#include <variant>

namespace jaybridge {

/// Event: an operator requests the state of the fleet.
struct OperatorStatusRequest {
  QueryId Query_;
};

/// Policy of a service, and the number of its instances by state.
struct ServiceStatus {
  ServiceName Service_;
  std::optional<ServicePolicy> Policy_;
  EventCount Serving_;
  EventCount Draining_;
  EventCount Ejected_;
};

struct MemberStatus {
  MemberRecord Record_;
  /// Latest configuration version that the member is known to have applied.
  ConfigurationVersion Version_;
};

/// Effect: state of the fleet as this daemon knows it.
struct OperatorStatusResponse {
  QueryId Query_;
  MemberId Self_;
  ConfigurationVersion Version_;
  std::vector<MemberStatus> Members_;
  std::vector<ServiceStatus> Services_;
};

/// This daemon has applied a newer configuration.
struct CatalogApplied {
  ConfigurationVersion Version_;
  std::vector<ServicePolicy> Policies_;
};

using FleetEvent =
    std::variant<FromMember<MembershipMessage>, FromMember<DirectoryMessage>,
                 FromMember<DistributionMessage>, InstanceAnnounced,
                 InstanceLoadReported, ChangeCommitted, CatalogInstalled,
                 EjectionListChanged, OperatorStatusRequest, LeaveRequested>;

using FleetEffect =
    std::variant<SendToMember<MembershipMessage>, SendToEndpoint,
                 SendToMember<DirectoryMessage>,
                 SendToMember<DistributionMessage>, MemberChanged,
                 LeaveFinished, InstanceUpdated, AnnouncementAnswered,
                 ConfirmationChanged, LoadReportReceived, CatalogApplied,
                 HomesChanged, OperatorStatusResponse>;

} // namespace jaybridge
