#pragma once

#include <LibHTTP/HeaderRules.h>

#include <string>

namespace jaybridge {

/// How a message says which service it is for.
enum class ServiceAddressing {
  /// The first path segment names the service and is not passed on.
  ServiceInPath,
  /// A routing table decides by host and path; both are passed on unchanged.
  HostAndPath,
};

/// Names of the headers that callers, gateways and upstreams exchange. An
/// empty name means that the header is neither sent nor expected.
struct HeaderDialect {
  ServiceAddressing Addressing_ = ServiceAddressing::ServiceInPath;
  /// The caller's id of an attempt, which the upstream repeats in its answer.
  std::string CallerRequestId_;
  /// Milliseconds that the sender still waits.
  std::string Deadline_ = DeadlineHeader;
  /// The id of the only instance that may run the request.
  std::string ExpectedInstance_;
  /// By it an upstream states that it did not run the request.
  std::string NotRun_ = OutcomeHeader;
  /// The value with which NotRun_ counts; any value when empty.
  std::string NotRunValue_ = OutcomeNotRun;
  /// Carried by each whole success of an upstream.
  std::string Signature_;
  /// Running and waiting requests of the upstream, separated by a comma.
  std::string Load_;
  /// Whether Retry-After may carry fractions of a second.
  bool HasFractionalRetryAfter_ = false;
};

} // namespace jaybridge
