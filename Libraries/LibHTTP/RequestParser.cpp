#include <LibHTTP/RequestParser.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <charconv>

namespace jaybridge {

namespace {

Refusal notRun(RefusalReason Reason, std::string Detail) {
  return Refusal{Outcome::NotRun, Reason, std::nullopt, std::move(Detail)};
}

/// Milliseconds of a `Jaybridge-Deadline-Ms` header. Longer waits than a day
/// count as a day, which keeps the sum with the present time in range.
std::optional<std::chrono::milliseconds>
readMilliseconds(std::string_view Text) {
  constexpr std::chrono::milliseconds Longest = 24h;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Position, Failure] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Position != End || Failure == std::errc::invalid_argument)
    return std::nullopt;
  if (Failure == std::errc::result_out_of_range ||
      Value > static_cast<std::uint64_t>(Longest.count()))
    return Longest;
  return std::chrono::milliseconds(Value);
}

struct SplitTarget {
  ServiceName Service_;
  std::string Target_;
};

std::optional<SplitTarget> splitTarget(std::string_view Target) {
  if (Target.empty() || Target.front() != '/')
    return std::nullopt;
  Target.remove_prefix(1);
  const std::size_t End = std::min(Target.find_first_of("/?"), Target.size());
  std::string Rest(Target.substr(End));
  if (Rest.empty() || Rest.front() != '/')
    Rest.insert(Rest.begin(), '/');
  return SplitTarget{ServiceName(std::string(Target.substr(0, End))),
                     std::move(Rest)};
}

bool hasLineBreak(const Header &Each) {
  return Each.Value_.find_first_of("\r\n") != std::string::npos;
}

std::size_t countOf(const std::vector<Header> &Headers, std::string_view Name) {
  return static_cast<std::size_t>(
      std::count_if(Headers.begin(), Headers.end(), [&](const Header &Each) {
        return isSameHeaderName(Each.Name_, Name);
      }));
}

} // namespace

std::variant<Request, Refusal>
parseRequest(RequestId Id, RawHTTPRequest Received, ByteCount BodyLimit,
             const HeaderDialect &Dialect, TimePoint Now) {
  if (Received.Body_.size() > BodyLimit.value())
    return notRun(RefusalReason::BodyTooLarge,
                  "the body is longer than " +
                      std::to_string(BodyLimit.value()) + " bytes");
  const bool IsServiceNamed =
      Dialect.Addressing_ == ServiceAddressing::ServiceInPath;
  std::optional<SplitTarget> Split = splitTarget(Received.Target_);
  if (!Split)
    return notRun(RefusalReason::BadRequest,
                  "the request target must be a path");
  if (IsServiceNamed && Split->Service_.isEmpty())
    return notRun(RefusalReason::UnknownService,
                  "the first path segment must name a service");
  if (std::any_of(Received.Headers_.begin(), Received.Headers_.end(),
                  hasLineBreak))
    return notRun(RefusalReason::BadRequest, "a header holds a line break");
  for (const std::string &Name :
       {Dialect.Deadline_, std::string(IdempotencyKeyHeader),
        Dialect.CallerRequestId_, std::string("Host")})
    if (!Name.empty() && countOf(Received.Headers_, Name) > 1)
      return notRun(RefusalReason::BadRequest,
                    Name + " is given more than once");

  Request Read;
  Read.Id_ = std::move(Id);
  Read.Method_ = std::move(Received.Method_);
  if (IsServiceNamed) {
    Read.Service_ = std::move(Split->Service_);
    Read.Target_ = std::move(Split->Target_);
  } else {
    Read.Target_ = std::string(Received.Target_);
    if (const Header *Given = findHeader(Received.Headers_, "Host"))
      Read.Authority_ = Given->Value_;
    if (const Header *Given =
            findHeader(Received.Headers_, Dialect.CallerRequestId_))
      Read.CallerId_ = RequestId(Given->Value_);
  }
  if (const Header *Given = findHeader(Received.Headers_, Dialect.Deadline_)) {
    auto Left = readMilliseconds(Given->Value_);
    if (!Left)
      return notRun(RefusalReason::BadRequest,
                    Dialect.Deadline_ + " must be whole milliseconds");
    Read.Deadline_ = Now + *Left;
  }
  if (const Header *Given =
          IsServiceNamed ? findHeader(Received.Headers_, IdempotencyKeyHeader)
                         : nullptr)
    Read.Key_ = IdempotencyKeyText(Given->Value_);
  Read.Headers_ = std::move(Received.Headers_);
  removeHopByHopHeaders(Read.Headers_);
  // The client towards the upstream writes these itself.
  std::erase_if(Read.Headers_, [&](const Header &Each) {
    return isSameHeaderName(Each.Name_, "Content-Length") ||
           (IsServiceNamed && isSameHeaderName(Each.Name_, "Host")) ||
           isSameHeaderName(Each.Name_, Dialect.Deadline_) ||
           isSameHeaderName(Each.Name_, Dialect.CallerRequestId_) ||
           isSameHeaderName(Each.Name_, Dialect.ExpectedInstance_);
  });
  Read.Body_ = std::make_shared<const std::string>(std::move(Received.Body_));
  return Read;
}

} // namespace jaybridge
