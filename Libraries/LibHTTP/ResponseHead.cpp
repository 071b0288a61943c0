#include <LibHTTP/ResponseHead.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace jaybridge {

namespace {

constexpr StatusCode MinStatus(100);
constexpr StatusCode StatusSwitchingProtocols(101);
constexpr StatusCode MinFinalStatus(200);
constexpr StatusCode StatusNoContent(204);
constexpr StatusCode StatusNotModified(304);
constexpr StatusCode MaxStatus(599);
constexpr std::size_t StatusDigits = 3;
constexpr std::string_view Whitespace = " \t";

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

std::string_view withoutLineEnd(std::string_view Line) {
  if (Line.ends_with('\n'))
    Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// The status of a well-formed status line.
std::optional<StatusCode> parseStatusLine(std::string_view Line) {
  constexpr std::string_view Versions[] = {"HTTP/1.1 ", "HTTP/1.0 "};
  if (std::none_of(
          std::begin(Versions), std::end(Versions),
          [&](std::string_view Version) { return Line.starts_with(Version); }))
    return std::nullopt;
  Line.remove_prefix(Versions[0].size());
  const std::string_view Digits = Line.substr(0, StatusDigits);
  if (Digits.size() < StatusDigits ||
      !std::all_of(Digits.begin(), Digits.end(), isDigit))
    return std::nullopt;
  if (Line.size() > StatusDigits && Line[StatusDigits] != ' ')
    return std::nullopt;
  std::uint16_t Value = 0;
  for (char Digit : Digits)
    Value = static_cast<std::uint16_t>(Value * 10 + (Digit - '0'));
  const StatusCode Status(Value);
  if (Status < MinStatus || Status > MaxStatus)
    return std::nullopt;
  return Status;
}

} // namespace

void ResponseHead::addLine(std::string_view Line) {
  Line = withoutLineEnd(Line);
  switch (Part_) {
  case Part::StatusLine:
    return addStatusLine(Line);
  case Part::Fields:
    return Line.empty() ? end() : addField(Line);
  case Part::Complete:
  case Part::Malformed:
    return;
  }
}

void ResponseHead::addStatusLine(std::string_view Line) {
  const std::optional<StatusCode> Status = parseStatusLine(Line);
  // The gateway never asks for another protocol.
  if (!Status || *Status == StatusSwitchingProtocols) {
    Part_ = Part::Malformed;
    return;
  }
  Status_ = *Status;
  Fields_.clear();
  Length_.reset();
  IsChunked_ = false;
  Part_ = Part::Fields;
}

void ResponseHead::addField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  const std::string_view Name = Line.substr(0, Colon);
  // A line that begins with white space continues the previous value, and white
  // space before the colon hides the name from recipients that compare it as it
  // is: either may change a length that others have read already.
  if (Name.empty() || Whitespace.find(Name.front()) != std::string_view::npos ||
      Whitespace.find(Name.back()) != std::string_view::npos) {
    Part_ = Part::Malformed;
    return;
  }
  if (Colon == std::string_view::npos)
    return;
  const std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (isSameHeaderName(Name, "Content-Length"))
    addLength(Value);
  else if (isSameHeaderName(Name, "Transfer-Encoding"))
    addEncoding(Value);
  Fields_.push_back(Header{std::string(Name), std::string(Value)});
}

void ResponseHead::addLength(std::string_view Value) {
  const bool IsNumber =
      !Value.empty() && std::all_of(Value.begin(), Value.end(), isDigit);
  Value.remove_prefix(std::min(Value.find_first_not_of('0'), Value.size()));
  if (!IsNumber || IsChunked_ || (Length_ && *Length_ != Value)) {
    Part_ = Part::Malformed;
    return;
  }
  Length_ = std::string(Value);
}

void ResponseHead::addEncoding(std::string_view Value) {
  if (!isSameHeaderName(Value, "chunked") || IsChunked_ || Length_) {
    Part_ = Part::Malformed;
    return;
  }
  IsChunked_ = true;
}

void ResponseHead::end() {
  Part_ = Status_ < MinFinalStatus ? Part::StatusLine : Part::Complete;
}

std::optional<ByteCount> ResponseHead::length() const {
  if (!Length_)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Length_->data() + Length_->size();
  if (std::from_chars(Length_->data(), End, Value).ec ==
      std::errc::result_out_of_range)
    Value = std::numeric_limits<std::uint64_t>::max();
  return ByteCount(Value);
}

bool ResponseHead::hasBody() const {
  return !IsToHead_ && Status_ != StatusNoContent &&
         Status_ != StatusNotModified;
}

} // namespace jaybridge
