#include <LibHTTP/RequestReader.h>

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
        return isSameHeader(Each.Name_, Name);
      }));
}

} // namespace

std::variant<Request, Refusal> readRequest(RequestId Id,
                                           ReceivedMessage Received,
                                           ByteCount BodyLimit, TimePoint Now) {
  if (Received.Body_.size() > BodyLimit.value())
    return notRun(RefusalReason::BodyTooLarge,
                  "the body is longer than " +
                      std::to_string(BodyLimit.value()) + " bytes");
  std::optional<SplitTarget> Split = splitTarget(Received.Target_);
  if (!Split)
    return notRun(RefusalReason::BadRequest,
                  "the request target must be a path");
  if (Split->Service_.isEmpty())
    return notRun(RefusalReason::UnknownService,
                  "the first path segment must name a service");
  if (std::any_of(Received.Headers_.begin(), Received.Headers_.end(),
                  hasLineBreak))
    return notRun(RefusalReason::BadRequest, "a header holds a line break");
  for (const char *Name : {DeadlineHeader, IdempotencyKeyHeader})
    if (countOf(Received.Headers_, Name) > 1)
      return notRun(RefusalReason::BadRequest,
                    std::string(Name) + " is given more than once");

  Request Read;
  Read.Id_ = std::move(Id);
  Read.Service_ = std::move(Split->Service_);
  Read.Method_ = std::move(Received.Method_);
  Read.Target_ = std::move(Split->Target_);
  if (const Header *Given = findHeader(Received.Headers_, DeadlineHeader)) {
    auto Left = readMilliseconds(Given->Value_);
    if (!Left)
      return notRun(RefusalReason::BadRequest,
                    std::string(DeadlineHeader) +
                        " must be whole milliseconds");
    Read.Deadline_ = Now + *Left;
  }
  if (const Header *Given = findHeader(Received.Headers_, IdempotencyKeyHeader))
    Read.Key_ = IdempotencyKeyText(Given->Value_);
  Read.Headers_ = std::move(Received.Headers_);
  removeConnectionHeaders(Read.Headers_);
  // The client towards the upstream writes both of these itself.
  std::erase_if(Read.Headers_, [](const Header &Each) {
    return isSameHeader(Each.Name_, "Content-Length") ||
           isSameHeader(Each.Name_, "Host");
  });
  Read.Body_ = std::make_shared<const std::string>(std::move(Received.Body_));
  return Read;
}

} // namespace jaybridge
