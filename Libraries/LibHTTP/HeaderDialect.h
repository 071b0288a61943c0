#pragma once

#include <LibHTTP/HeaderRules.h>

#include <string>

namespace jaybridge {

/// How a request is assigned to a service.
enum class ServiceAddressing {
  /// The first path segment names the service and is removed before forwarding.
  ServiceInPath,
  /// A routing table matches host and path; both are forwarded unchanged.
  HostAndPath,
};

/// Names of the headers that callers, gateways and upstreams exchange, and
/// rules for their values. A header with an empty name is neither sent nor
/// expected.
struct HeaderDialect {
  ServiceAddressing Addressing_ = ServiceAddressing::ServiceInPath;
  /// The caller's id of one attempt at a request, which the upstream echoes in
  /// its response.
  std::string CallerRequestId_;
  /// Remaining time in milliseconds until the sender stops waiting.
  std::string Deadline_ = DeadlineHeader;
  /// Id of the instance that the request is addressed to; any other instance
  /// refuses it with 421.
  std::string ExpectedInstance_;
  /// Response header with which an upstream states that it did not run the
  /// request.
  std::string NotRun_ = OutcomeHeader;
  /// Value that `NotRun_` must have to count; any value when empty.
  std::string NotRunValue_ = OutcomeNotRun;
  /// Response header that every complete success of an upstream carries.
  std::string Signature_;
  /// Response header with the number of running and of waiting requests of the
  /// upstream, separated by a comma.
  std::string Load_;
  /// Request header with the caller's key: the scheme `Bearer` and a token (RFC
  /// 6750). Removed from the headers of a request together with Team_. Applies
  /// with HostAndPath only, like Team_.
  std::string Credential_;
  /// Request header with the name of the caller's team.
  std::string Team_;
  /// Whether `Retry-After` may contain fractions of a second.
  bool HasFractionalRetryAfter_ = false;
};

} // namespace jaybridge
