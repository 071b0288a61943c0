#include <LibCore/Endpoint.h>

#include <charconv>

namespace jaybridge {

namespace {

template <typename Number>
bool parseNumber(std::string_view Text, Number Max, Number &Parsed) {
  const char *End = Text.data() + Text.size();
  auto [Position, ParseError] = std::from_chars(Text.data(), End, Parsed);
  return ParseError == std::errc() && Position == End && Parsed <= Max;
}

bool isIPv4Address(std::string_view Text) {
  constexpr int PartCount = 4;
  constexpr unsigned MaxPart = 255;
  for (int Part = 1; Part <= PartCount; ++Part) {
    std::size_t Dot = Part < PartCount ? Text.find('.') : Text.size();
    unsigned Value = 0;
    if (Dot == std::string_view::npos || Dot == 0 ||
        !parseNumber(Text.substr(0, Dot), MaxPart, Value))
      return false;
    Text.remove_prefix(Part < PartCount ? Dot + 1 : Dot);
  }
  return Text.empty();
}

} // namespace

Result<Endpoint> Endpoint::create(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  unsigned Number = 0;
  constexpr unsigned MaxPort = 65535;
  if (Colon == std::string_view::npos ||
      !parseNumber(Text.substr(Colon + 1), MaxPort, Number))
    return Error{ErrorCode::Invalid,
                 "'" + std::string(Text) + "' is not A.B.C.D:PORT",
                 {}};
  return create(std::string(Text.substr(0, Colon)),
                Port(static_cast<std::uint16_t>(Number)));
}

Result<Endpoint> Endpoint::create(std::string Address, Port Number) {
  if (!isIPv4Address(Address))
    return Error{
        ErrorCode::Invalid, "'" + Address + "' is not an IPv4 address", {}};
  return Endpoint(std::move(Address), Number);
}

std::string Endpoint::text() const {
  return Address_ + ":" + std::to_string(Port_.value());
}

} // namespace jaybridge
