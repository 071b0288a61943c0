#pragma once

#include <LibCore/Identifier.h>

namespace jaybridge {

/// A daemon that is a member of the fleet.
using MemberId = Identifier<struct MemberIdTag>;
/// An instance of an upstream service.
using InstanceId = Identifier<struct InstanceIdTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using RouteName = Identifier<struct RouteNameTag>;
using ProfileName = Identifier<struct ProfileNameTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using OperatorName = Identifier<struct OperatorNameTag>;
/// A request received by a gateway; unique in the fleet.
using RequestId = Identifier<struct RequestIdTag>;
/// A configuration change. The operator's client chooses the id, so that a
/// resent change is recognized.
using ChangeRequestId = Identifier<struct ChangeRequestIdTag>;

using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>;
using Term = Ordinal<struct TermTag>;
using LogIndex = Ordinal<struct LogIndexTag>;
using Incarnation = Ordinal<struct IncarnationTag>;
using FenceNumber = Ordinal<struct FenceNumberTag>;
/// One attempt to run a request on an instance; unique until the daemon
/// restarts.
using AttemptId = Ordinal<struct AttemptIdTag>;
/// Hash of the service, method, target and body of a request.
using Fingerprint = Ordinal<struct FingerprintTag>;

} // namespace jaybridge
