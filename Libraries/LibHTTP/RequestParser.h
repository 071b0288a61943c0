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

/// Turns a received message into a request, or into the refusal for its
/// caller. The limit applies to the body.
std::variant<Request, Refusal>
parseRequest(RequestId Id, RawHTTPRequest Received, ByteCount BodyLimit,
             const HeaderDialect &Dialect, TimePoint Now);

} // namespace jaybridge
