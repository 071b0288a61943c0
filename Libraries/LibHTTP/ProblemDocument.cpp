#include <LibHTTP/ProblemDocument.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

const char *reasonPhrase(StatusCode Status) {
  // Only codes that Jaybridge creates itself or that upstreams commonly use.
  switch (Status.value()) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 202:
    return "Accepted";
  case 204:
    return "No Content";
  case 304:
    return "Not Modified";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 409:
    return "Conflict";
  case 413:
    return "Content Too Large";
  case 307:
    return "Temporary Redirect";
  case 421:
    return "Misdirected Request";
  case 422:
    return "Unprocessable Content";
  case 429:
    return "Too Many Requests";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "";
  }
}

std::string problemDocumentOf(const Refusal &Refused) {
  const StatusCode Status = statusOf(Refused);
  const char *Reason = refusalReasonName(Refused.Reason_);
  nlohmann::json Document = {
      {"type", std::string("urn:jaybridge:problem:") + Reason},
      {"title", reasonPhrase(Status)},
      {"status", Status.value()},
      {"detail", Refused.Detail_},
      {"outcome", outcomeName(Refused.Outcome_)},
      {"reason", Reason}};
  if (Refused.RetryAfter_)
    Document["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*Refused.RetryAfter_)
            .count();
  // The detail may quote bytes of the request that are not valid UTF-8.
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::string fractionalRetryAfterSeconds(Duration RetryAfter) {
  constexpr long MillisecondsPerSecond = 1000;
  long TotalMilliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(RetryAfter).count();
  std::string Fraction =
      std::to_string(TotalMilliseconds % MillisecondsPerSecond);
  Fraction.insert(0, 3 - Fraction.size(), '0');
  return std::to_string(TotalMilliseconds / MillisecondsPerSecond) + "." +
         Fraction;
}

std::string retryAfterSeconds(Duration RetryAfter) {
  return std::to_string(
      std::chrono::ceil<std::chrono::seconds>(RetryAfter).count());
}

} // namespace jaybridge
