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
  return RequestId(Prefix_ + hexadecimal(++Last_));
}

} // namespace jaybridge
