#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/TeamName.h>
#include <LibCore/Time.h>
#include <LibExchange/Credential.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// HTTP header field.
struct Header {
  std::string Name_;
  std::string Value_;

  friend bool operator==(const Header &, const Header &) = default;
};

/// Complete message body. Immutable, and so shared between the attempts of a
/// request.
using Body = std::shared_ptr<const std::string>;

/// Value of a caller's `Idempotency-Key` header field.
using IdempotencyKeyText = Identifier<struct IdempotencyKeyTextTag>;

/// A request of a caller, received completely.
struct Request {
  RequestId Id_;
  /// Id that the caller gave this attempt; forwarded to the upstream.
  std::optional<RequestId> CallerId_;
  /// Empty until a routing table selects it.
  ServiceName Service_;
  /// Value of the caller's `Host` header field. Set only if a routing table
  /// selects the service.
  std::string Authority_;
  std::string Method_;
  /// Path and query that the upstream receives.
  std::string Target_;
  std::vector<Header> Headers_;
  Body Body_;
  /// Time at which the caller stops waiting, if it gave one.
  std::optional<TimePoint> Deadline_;
  std::optional<IdempotencyKeyText> Key_;
  /// Key of the caller; none if it sent none or a malformed one.
  std::optional<Credential> Credential_;
  /// Header fields with the key or a team, as received. They are not part of
  /// Headers_, and only a gateway whose configuration has no teams puts them
  /// back. Must not be logged.
  std::vector<Header> IdentityHeaders_;
  /// Team that the key identified; sent to the upstream.
  std::optional<TeamName> Team_;
};

/// Hash of the service, method, target and body; equal for equal requests.
Fingerprint fingerprintOf(const Request &Received);

} // namespace jaybridge
