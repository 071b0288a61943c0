#include <LibHTTP/RequestIdGenerator.h>

#include <charconv>

namespace jaybridge {

namespace {

std::string hexadecimal(std::uint64_t Value) {
  char Digits[16];
  auto [End, Failure] =
      std::to_chars(Digits, Digits + sizeof(Digits), Value, 16);
  return std::string(Digits, End);
}

} // namespace

RequestIdGenerator::RequestIdGenerator(const MemberId &Member,
                                       WallTime StartedAt)
    : Prefix_(Member.text() + "-" +
              hexadecimal(static_cast<std::uint64_t>(
                  StartedAt.time_since_epoch().count())) +
              "-") {}

RequestId RequestIdGenerator::next() {
  return RequestId(Prefix_ + hexadecimal(++LastNumber_));
}

MemberId receivingMemberOf(const RequestId &Id) {
  const std::string &Text = Id.text();
  std::size_t CounterDash = Text.rfind('-');
  if (CounterDash == std::string::npos || CounterDash == 0)
    return MemberId();
  std::size_t TimeDash = Text.rfind('-', CounterDash - 1);
  if (TimeDash == std::string::npos)
    return MemberId();
  return MemberId(Text.substr(0, TimeDash));
}

} // namespace jaybridge
