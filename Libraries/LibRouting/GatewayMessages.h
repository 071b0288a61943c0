#pragma once

#include <LibCore/Endpoint.h>
#include <LibExchange/Answer.h>
#include <LibExchange/Request.h>
#include <LibProfile/RoutingTable.h>
#include <LibProfile/ServicePolicy.h>
#include <LibQuota/TokenMessages.h>
#include <LibRouting/RoutingExplanation.h>
#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/InstanceRecord.h>

#include <memory>
#include <variant>
#include <vector>

namespace jaybridge {

// Events: inputs of the gateway.

/// A complete request arrived from a caller or was forwarded by another
/// gateway. Its id is unique, and it gets exactly one AnswerCaller.
struct RequestReceived {
  std::shared_ptr<const Request> Request_;
  /// True when another gateway forwarded the request. It is then not forwarded
  /// again.
  bool IsForwarded_ = false;
};

/// The caller closed its connection before it got the answer.
struct CallerDisconnected {
  RequestId Id_;
};

/// An attempt has ended, also after CancelAttempt.
struct AttemptFinished {
  AttemptId Attempt_;
  AttemptOutcome Outcome_;
};

/// A newer configuration came into force.
struct CatalogChanged {
  ConfigurationVersion Version_;
  std::vector<ServicePolicy> Policies_;
};

/// A newer routing table came into force. It applies to requests that name no
/// service.
struct RoutingChanged {
  std::shared_ptr<const RoutingTable> Table_;
};

/// A control member confirmed that the configuration is the one in force, or
/// none does so any more.
struct ControlContactChanged {
  bool IsConfirmed_ = false;
};

/// An instance was added, or its record changed.
struct InstanceChanged {
  InstanceRecord Record_;
};

/// An instance reported its own load. The report may be stale or misleading.
struct LoadReported {
  InstanceId Instance_;
  ServiceName Service_;
  SlotCount Busy_;
};

/// Replaces the list of ejected instances of a service. It expires at
/// ValidUntil_.
struct EjectionsChanged {
  ServiceName Service_;
  std::vector<InstanceId> Ejected_;
  TimePoint ValidUntil_;
};

/// Replaces the list of quarantined fingerprints: requests that crash the
/// instances that run them.
struct FingerprintsQuarantined {
  std::vector<Fingerprint> Fingerprints_;
  /// Requests that may crash instances. They are sent to an instance, but not
  /// to a second one after the first was lost.
  std::vector<Fingerprint> Suspected_{};
};

struct ClaimGranted {};

/// Permission to dispatch the request, or the answer for the caller.
using ClaimDecision = std::variant<ClaimGranted, Answer>;

/// The result of a ClaimKey.
struct ClaimDecided {
  RequestId Id_;
  ClaimDecision Decision_;
};

/// Replaces the gateways to which requests of a service are forwarded, the most
/// preferred first; empty when this gateway serves them itself.
struct HomesChanged {
  ServiceName Service_;
  std::vector<MemberId> Homes_;
};

/// A forwarded request ended with the home's answer, or with the reason
/// HomeLost when the home could not be reached or its connection was lost.
struct ForwardAnswered {
  RequestId Id_;
  Answer Answer_;
};

/// A number of spent or granted retries of a service.
struct RetryCount {
  ServiceName Service_;
  EventCount Retries_;
};

/// A control member granted replacements for spent retries.
struct RetriesGranted {
  std::vector<RetryCount> Retries_;
};

/// A control member answered a SendTokenRequest.
struct TokensGranted {
  TokenGrant Grant_;
};

/// The daemon shuts down. Without times, new requests are refused and those in
/// progress finish.
struct DrainStarted {
  /// Until this time, new requests are still served if they can end by
  /// FinishBy_, because callers find another gateway only after a while.
  TimePoint AdmitUntil_{};
  /// The daemon ends at this time: nothing is sent to an instance that may take
  /// longer, and requests that are still in progress are answered with what is
  /// known about them.
  TimePoint FinishBy_ = TimePoint::max();
};

/// Asks where a request would go now, without sending it. Gets one
/// ExplanationResponse.
struct ExplanationRequest {
  ExplanationId Id_;
  std::shared_ptr<const Request> Request_;
  /// The team to explain the request for, if one was given.
  std::optional<TeamName> Team_;
};

using GatewayEvent =
    std::variant<RequestReceived, CallerDisconnected, AttemptFinished,
                 CatalogChanged, RoutingChanged, InstanceChanged, LoadReported,
                 EjectionsChanged, FingerprintsQuarantined, ClaimDecided,
                 HomesChanged, ForwardAnswered, RetriesGranted, DrainStarted,
                 ExplanationRequest, TokensGranted, ControlContactChanged>;

// Effects: commands to the host of the gateway.

/// Sends the request to the instance.
struct SendAttempt {
  AttemptId Attempt_;
  InstanceId Instance_;
  Endpoint Address_;
  std::shared_ptr<const Request> Request_;
  /// The attempt must not be sent after this time.
  TimePoint Deadline_;
};

/// Cancels an attempt. Its end is still reported with AttemptFinished.
struct CancelAttempt {
  AttemptId Attempt_;
};

struct AnswerCaller {
  RequestId Id_;
  Answer Answer_;
  ConfigurationVersion Version_;
};

/// Claims the idempotency key of a request in the ledger, before the request is
/// dispatched.
struct ClaimKey {
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

/// Releases a claim: the request did not run and will not be dispatched.
struct ReleaseKey {
  RequestId Id_;
};

/// Stores the final answer of a claimed request under its key.
struct FinishKey {
  RequestId Id_;
  Answer Answer_;
};

/// Reports an attempt that has been open far longer than its like, as evidence
/// about its instance. Its end is reported too.
struct ReportOverdue {
  ServiceName Service_;
  InstanceId Instance_;
};

/// Reports the end of an attempt as evidence about its instance.
struct ReportAttempt {
  ServiceName Service_;
  InstanceId Instance_;
  AttemptResult Result_ = AttemptResult::Answered;
  StatusCode Status_;
  Duration Elapsed_{};
  Fingerprint Fingerprint_;
  /// A ReportOverdue preceded.
  bool WasOverdue_ = false;
};

/// Reports that a retry was taken from the budget of a service.
struct ReportRetry {
  ServiceName Service_;
};

/// The instances of a service began to reject most requests, or stopped.
/// Emitted with placement by cost.
struct CapacityChanged {
  ServiceName Service_;
  bool IsShort_ = false;
};

/// Requests tokens of limited teams from the control member.
struct SendTokenRequest {
  TokenRequest Request_;
};

/// The limiter of a team started or ended to refuse requests.
struct TeamRefusalChanged {
  TeamName Team_;
  bool IsRefusing_ = false;
};

/// Requests of limited teams since the start changed.
struct TeamLimiterCounts {
  EventCount TokensGranted_;
  EventCount TokensReturned_;
  EventCount OverLimit_;
  EventCount Waited_;

  friend bool operator==(const TeamLimiterCounts &,
                         const TeamLimiterCounts &) = default;
};

/// Forwards the request to another gateway.
struct ForwardRequest {
  MemberId Home_;
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

/// Tells the home that the answer is no longer needed.
struct CancelForward {
  MemberId Home_;
  RequestId Id_;
};

enum class StepKind {
  Received,
  Queued,
  Claimed,
  Dispatched,
  AttemptEnded,
  Retried,
  Hedged,
  Forwarded,
  Answered,
  Refused,
  Overdue,
};

/// Records one step in the trace of a request.
struct RecordStep {
  RequestId Id_;
  StepKind Kind_ = StepKind::Received;
  ServiceName Service_;
  ConfigurationVersion Version_;
  InstanceId Instance_;
  FailureDomain Domain_;
  std::string Detail_;
};

/// The answer to an ExplanationRequest.
struct ExplanationResponse {
  ExplanationId Id_;
  std::shared_ptr<const RoutingExplanation> Explanation_;
};

using GatewayEffect =
    std::variant<SendAttempt, CancelAttempt, AnswerCaller, ClaimKey, ReleaseKey,
                 FinishKey, ReportAttempt, ForwardRequest, CancelForward,
                 RecordStep, ReportRetry, ReportOverdue, CapacityChanged,
                 ExplanationResponse, SendTokenRequest, TeamRefusalChanged,
                 TeamLimiterCounts>;

} // namespace jaybridge
