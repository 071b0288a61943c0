#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

struct Header {
  std::string Name_;
  std::string Value_;

  friend bool operator==(const Header &, const Header &) = default;
};

/// Whole bodies are shared between attempts and never changed.
using Body = std::shared_ptr<const std::string>;

/// Text of a caller's `Idempotency-Key` header.
using IdempotencyKeyText = Identifier<struct IdempotencyKeyTextTag>;

/// One request of a caller, received whole.
struct Request {
  RequestId Id_;
  /// The caller's own name of this attempt, passed on to the upstream.
  std::optional<RequestId> CallerId_;
  /// Empty until a routing table has named it.
  ServiceName Service_;
  /// Authority that the caller addressed; set when a routing table decides.
  std::string Authority_;
  std::string Method_;
  /// Path and query as the upstream sees them.
  std::string Target_;
  std::vector<Header> Headers_;
  Body Body_;
  /// When the caller stops waiting, if it said so.
  std::optional<TimePoint> Deadline_;
  std::optional<IdempotencyKeyText> Key_;
};

/// Identifies requests with the same service, method, target and body.
Fingerprint fingerprintOf(const Request &Received);

} // namespace jaybridge
