#pragma once

#include <LibExchange/Answer.h>
#include <LibProfile/RoutingTable.h>
#include <LibProfile/Team.h>
#include <LibUpstream/CandidateView.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// Matches an explanation with the request for it.
using ExplanationId = Ordinal<struct ExplanationIdTag>;

/// The request would be sent to an instance at once.
struct AdmittedNow {};

/// The request would wait for an instance.
struct QueuedFor {
  Duration ExpectedWait_{};
};

/// The request would be forwarded to this home.
struct ForwardedTo {
  MemberId Home_;
};

struct RefusedBecause {
  RefusalReason Reason_ = RefusalReason::UnknownService;
};

using AdmissionDecision =
    std::variant<AdmittedNow, QueuedFor, ForwardedTo, RefusedBecause>;

/// What would happen to the request if its route chose this service.
struct ServiceExplanation {
  ServiceName Service_;
  SplitWeight Weight_ = SplitWeight(1);
  AdmissionDecision Admission_;
  /// All known instances of the service, by id.
  std::vector<CandidateView> Candidates_;
};

/// Where a gateway would send a request now, and why.
struct RoutingExplanation {
  ConfigurationVersion Version_;
  /// None when no route matches or the request names its service.
  std::optional<RouteName> Route_;
  std::optional<TeamName> Team_;
  /// Tokens that this gateway holds for the team; none without a limit.
  std::optional<RequestTokens> TokensLeft_;
  /// Set when the request would be refused before a service is chosen.
  std::optional<RefusalReason> Refusal_;
  std::vector<ServiceExplanation> Services_;
};

} // namespace jaybridge
