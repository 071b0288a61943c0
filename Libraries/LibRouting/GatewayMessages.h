#pragma once

#include <LibCore/Endpoint.h>
#include <LibExchange/Answer.h>
#include <LibExchange/Request.h>
#include <LibProfile/RoutingTable.h>
#include <LibProfile/ServicePolicy.h>
#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/InstanceRecord.h>

#include <memory>
#include <variant>
#include <vector>

namespace jaybridge {

// Events.

/// A caller's request arrived whole, or another gateway forwarded one. The id
/// is unique, and every request gets exactly one AnswerCaller.
struct RequestReceived {
  std::shared_ptr<const Request> Request_;
  /// Set when another gateway forwarded it; such a request is not forwarded
  /// again.
  bool IsForwarded_ = false;
};

/// The caller closed its connection before it was answered.
struct CallerDisconnected {
  RequestId Id_;
};

struct AttemptFinished {
  AttemptId Attempt_;
  AttemptOutcome Outcome_;
};

/// A newer configuration is in force.
struct CatalogChanged {
  ConfigurationVersion Version_;
  std::vector<ServicePolicy> Policies_;
};

/// A newer routing table is in force; it decides for requests that name no
/// service.
struct RoutingChanged {
  std::shared_ptr<const RoutingTable> Table_;
};

struct InstanceChanged {
  InstanceRecord Record_;
};

/// An instance's own statement about its load; may lag or mislead.
struct LoadReported {
  InstanceId Instance_;
  ServiceName Service_;
  SlotCount Busy_;
};

/// The whole list of ejected instances of a service, valid until the time.
struct EjectionsChanged {
  ServiceName Service_;
  std::vector<InstanceId> Ejected_;
  TimePoint ValidUntil_;
};

/// Requests with these fingerprints crash the instances that run them.
struct FingerprintsQuarantined {
  std::vector<Fingerprint> Fingerprints_;
};

struct ClaimGranted {};

/// Either this gateway may dispatch the request, or the answer for the caller.
using ClaimDecision = std::variant<ClaimGranted, Answer>;

struct ClaimDecided {
  RequestId Id_;
  ClaimDecision Decision_;
};

/// Where to forward requests of a service; empty when served here.
struct HomesChanged {
  ServiceName Service_;
  std::vector<MemberId> Preferred_;
};

/// The home's answer, or a refusal when it was lost.
struct ForwardAnswered {
  RequestId Id_;
  Answer Answer_;
};

/// Retries of a service, spent or granted.
struct RetryCount {
  ServiceName Service_;
  EventCount Retries_;
};

/// Replaces retries that a gateway has spent.
struct RetriesGranted {
  std::vector<RetryCount> Retries_;
};

struct DrainStarted {};

using GatewayEvent =
    std::variant<RequestReceived, CallerDisconnected, AttemptFinished,
                 CatalogChanged, RoutingChanged, InstanceChanged, LoadReported,
                 EjectionsChanged, FingerprintsQuarantined, ClaimDecided,
                 HomesChanged, ForwardAnswered, RetriesGranted, DrainStarted>;

// Effects.

struct SendAttempt {
  AttemptId Attempt_;
  InstanceId Instance_;
  Endpoint Address_;
  std::shared_ptr<const Request> Request_;
  /// The attempt must not be started after this time.
  TimePoint Deadline_;
};

struct CancelAttempt {
  AttemptId Attempt_;
};

struct AnswerCaller {
  RequestId Id_;
  Answer Answer_;
  ConfigurationVersion Version_;
};

/// Asks for the right to dispatch a request with an idempotency key.
struct ClaimKey {
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

/// The claimed request was not dispatched and never will be.
struct ReleaseKey {
  RequestId Id_;
};

/// The claimed request ended with this answer.
struct FinishKey {
  RequestId Id_;
  Answer Answer_;
};

/// What an attempt showed about an instance.
struct ReportAttempt {
  ServiceName Service_;
  InstanceId Instance_;
  AttemptResult Result_ = AttemptResult::Answered;
  StatusCode Status_;
  Duration Elapsed_{};
  Fingerprint Fingerprint_;
};

/// A retry was taken from the budget of a service.
struct ReportRetry {
  ServiceName Service_;
};

struct ForwardRequest {
  MemberId Home_;
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

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
};

/// One entry of a request's history.
struct RecordStep {
  RequestId Id_;
  StepKind Kind_ = StepKind::Received;
  ServiceName Service_;
  ConfigurationVersion Version_;
  InstanceId Instance_;
  FailureDomain Domain_;
  std::string Detail_;
};

using GatewayEffect =
    std::variant<SendAttempt, CancelAttempt, AnswerCaller, ClaimKey, ReleaseKey,
                 FinishKey, ReportAttempt, ForwardRequest, CancelForward,
                 RecordStep, ReportRetry>;

} // namespace jaybridge
