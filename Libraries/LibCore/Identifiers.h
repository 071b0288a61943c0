#pragma once

#include <LibCore/Identifier.h>

namespace jaybridge {

/// A daemon of the fleet.
using MemberId = Identifier<struct MemberIdTag>;
/// An instance of an upstream service.
using InstanceId = Identifier<struct InstanceIdTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using ProfileName = Identifier<struct ProfileNameTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using OperatorName = Identifier<struct OperatorNameTag>;
/// One received request, unique in the fleet.
using RequestId = Identifier<struct RequestIdTag>;
/// An operator's change, chosen by the operator's tool.
using ChangeRequestId = Identifier<struct ChangeRequestIdTag>;

using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>;
using Term = Ordinal<struct TermTag>;
using LogIndex = Ordinal<struct LogIndexTag>;
using Incarnation = Ordinal<struct IncarnationTag>;
using FenceNumber = Ordinal<struct FenceNumberTag>;
/// One dispatch of a request to an instance, unique within a daemon's run.
using AttemptId = Ordinal<struct AttemptIdTag>;
/// Hash of service, method, target and body of a request.
using Fingerprint = Ordinal<struct FingerprintTag>;

} // namespace jaybridge
