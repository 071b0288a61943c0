#include <LibHTTP/RequestParser.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace jaybridge {

namespace {

Refusal notRun(RefusalReason Reason, std::string Detail) {
  return Refusal{Outcome::NotRun, Reason, std::nullopt, std::move(Detail)};
}

/// Parses the milliseconds of a deadline header. Times longer than a day are
/// clamped to a day, so that adding them to the current time cannot overflow.
std::optional<std::chrono::milliseconds> parseDeadline(std::string_view Text) {
  constexpr std::chrono::milliseconds MaxWait = 24h;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Position, Failure] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Position != End || Failure == std::errc::invalid_argument)
    return std::nullopt;
  if (Failure == std::errc::result_out_of_range ||
      Value > static_cast<std::uint64_t>(MaxWait.count()))
    return MaxWait;
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

bool hasLineBreak(const Header &Field) {
  return Field.Value_.find_first_of("\r\n") != std::string::npos;
}

std::size_t countHeaders(const std::vector<Header> &Headers,
                         std::string_view Name) {
  return static_cast<std::size_t>(
      std::count_if(Headers.begin(), Headers.end(), [&](const Header &Field) {
        return isSameHeaderName(Field.Name_, Name);
      }));
}

/// Token of a `Bearer` credential (RFC 6750, section 2.1).
std::optional<Credential> parseCredential(std::string_view Value) {
  constexpr std::string_view Scheme = "Bearer";
  if (!isSameHeaderName(Value.substr(0, Scheme.size()), Scheme))
    return std::nullopt;
  Value.remove_prefix(Scheme.size());
  const std::size_t Start = Value.find_first_not_of(' ');
  if (Start == 0 || Start == std::string_view::npos)
    return std::nullopt;
  Value.remove_prefix(Start);
  Value = Value.substr(0, Value.find_last_not_of(" \t") + 1);
  if (Value.empty() || Value.find_first_of(" \t") != std::string_view::npos)
    return std::nullopt;
  return Credential(std::string(Value));
}

/// Moves the header fields with the caller's key or team out of Headers_.
void takeIdentity(Request &Parsed, const HeaderDialect &Dialect) {
  auto IsOther = [&](const Header &Field) {
    return !isSameHeaderName(Field.Name_, Dialect.Credential_) &&
           !isSameHeaderName(Field.Name_, Dialect.Team_);
  };
  const auto FirstMoved = std::stable_partition(Parsed.Headers_.begin(),
                                                Parsed.Headers_.end(), IsOther);
  Parsed.IdentityHeaders_.assign(
      std::make_move_iterator(FirstMoved),
      std::make_move_iterator(Parsed.Headers_.end()));
  Parsed.Headers_.erase(FirstMoved, Parsed.Headers_.end());
  // Which of two keys counts must not depend on their order.
  if (countHeaders(Parsed.IdentityHeaders_, Dialect.Credential_) == 1)
    Parsed.Credential_ = parseCredential(
        findHeader(Parsed.IdentityHeaders_, Dialect.Credential_)->Value_);
}

} // namespace

std::variant<Request, Refusal>
parseRequest(RequestId Id, RawHTTPRequest Received, ByteCount BodyLimit,
             const HeaderDialect &Dialect, TimePoint Now) {
  if (Received.Body_.size() > BodyLimit.value())
    return notRun(RefusalReason::BodyTooLarge,
                  "the body is longer than " +
                      std::to_string(BodyLimit.value()) + " bytes");
  const bool IsServiceInPath =
      Dialect.Addressing_ == ServiceAddressing::ServiceInPath;
  std::optional<SplitTarget> Split = splitTarget(Received.Target_);
  if (!Split)
    return notRun(RefusalReason::BadRequest,
                  "the request target must be a path");
  if (IsServiceInPath && Split->Service_.isEmpty())
    return notRun(RefusalReason::UnknownService,
                  "the first path segment must name a service");
  if (std::any_of(Received.Headers_.begin(), Received.Headers_.end(),
                  hasLineBreak))
    return notRun(RefusalReason::BadRequest,
                  "a header value contains a line break");
  for (const std::string &Name :
       {Dialect.Deadline_, std::string(IdempotencyKeyHeader),
        Dialect.CallerRequestId_, std::string("Host")})
    if (!Name.empty() && countHeaders(Received.Headers_, Name) > 1)
      return notRun(RefusalReason::BadRequest,
                    Name + " is given more than once");

  Request Parsed;
  Parsed.Id_ = std::move(Id);
  Parsed.Method_ = std::move(Received.Method_);
  if (IsServiceInPath) {
    Parsed.Service_ = std::move(Split->Service_);
    Parsed.Target_ = std::move(Split->Target_);
  } else {
    Parsed.Target_ = std::string(Received.Target_);
    if (const Header *Found = findHeader(Received.Headers_, "Host"))
      Parsed.Authority_ = Found->Value_;
    if (const Header *Found =
            findHeader(Received.Headers_, Dialect.CallerRequestId_))
      Parsed.CallerId_ = RequestId(Found->Value_);
  }
  if (const Header *Found = findHeader(Received.Headers_, Dialect.Deadline_)) {
    auto RemainingTime = parseDeadline(Found->Value_);
    if (!RemainingTime)
      return notRun(RefusalReason::BadRequest,
                    Dialect.Deadline_ + " must be whole milliseconds");
    Parsed.Deadline_ = Now + *RemainingTime;
  }
  if (const Header *Found =
          IsServiceInPath ? findHeader(Received.Headers_, IdempotencyKeyHeader)
                          : nullptr)
    Parsed.Key_ = IdempotencyKeyText(Found->Value_);
  Parsed.Headers_ = std::move(Received.Headers_);
  removeHopByHopHeaders(Parsed.Headers_);
  // The upstream client writes these headers itself.
  std::erase_if(Parsed.Headers_, [&](const Header &Field) {
    return isSameHeaderName(Field.Name_, "Content-Length") ||
           (IsServiceInPath && isSameHeaderName(Field.Name_, "Host")) ||
           isSameHeaderName(Field.Name_, Dialect.Deadline_) ||
           isSameHeaderName(Field.Name_, Dialect.CallerRequestId_) ||
           isSameHeaderName(Field.Name_, Dialect.ExpectedInstance_);
  });
  if (!IsServiceInPath)
    takeIdentity(Parsed, Dialect);
  Parsed.Body_ = std::make_shared<const std::string>(std::move(Received.Body_));
  return Parsed;
}

} // namespace jaybridge
