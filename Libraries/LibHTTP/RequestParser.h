#pragma once

#include <LibExchange/Answer.h>
#include <LibExchange/Request.h>
#include <LibHTTP/HeaderDialect.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaybridge {

/// The parts of a received HTTP request.
struct RawHTTPRequest {
  std::string Method_;
  /// Request target as received.
  std::string_view Target_;
  std::vector<Header> Headers_;
  std::string Body_;
};

/// Validates an HTTP request and converts it into a `Request`. Returns the
/// refusal for the caller when the request is malformed, names no service or
/// has a body longer than `BodyLimit`. A relative deadline counts from `Now`.
std::variant<Request, Refusal>
parseRequest(RequestId Id, RawHTTPRequest Received, ByteCount BodyLimit,
             const HeaderDialect &Dialect, TimePoint Now);

} // namespace jaybridge
