#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <array>

namespace jaybridge {

namespace {

constexpr std::array<std::string_view, 13> HopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    DeadlineHeader,
    RequestIdHeader,
    ConfigurationVersionHeader};

char lowerCase(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

std::string_view trimmed(std::string_view Text) {
  auto First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

/// Header names listed in the values of the `Connection` headers.
std::vector<std::string>
headersNamedByConnection(const std::vector<Header> &Headers) {
  std::vector<std::string> Names;
  for (const Header &Field : Headers) {
    if (!isSameHeaderName(Field.Name_, "Connection"))
      continue;
    std::string_view Rest = Field.Value_;
    while (!Rest.empty()) {
      auto Comma = Rest.find(',');
      if (auto Name = trimmed(Rest.substr(0, Comma)); !Name.empty())
        Names.emplace_back(Name);
      Rest.remove_prefix(Comma == std::string_view::npos ? Rest.size()
                                                         : Comma + 1);
    }
  }
  return Names;
}

} // namespace

bool isSameHeaderName(std::string_view Left, std::string_view Right) {
  return std::equal(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](char A, char B) { return lowerCase(A) == lowerCase(B); });
}

const Header *findHeader(const std::vector<Header> &Headers,
                         std::string_view Name) {
  auto Found =
      std::find_if(Headers.begin(), Headers.end(), [&](const Header &Field) {
        return isSameHeaderName(Field.Name_, Name);
      });
  return Found == Headers.end() ? nullptr : &*Found;
}

void removeHopByHopHeaders(std::vector<Header> &Headers) {
  const std::vector<std::string> NamedByConnection =
      headersNamedByConnection(Headers);
  auto IsOneOf = [](const Header &Field, const auto &Names) {
    return std::any_of(Names.begin(), Names.end(), [&](const auto &Name) {
      return isSameHeaderName(Field.Name_, Name);
    });
  };
  std::erase_if(Headers, [&](const Header &Field) {
    return IsOneOf(Field, HopByHopHeaders) || IsOneOf(Field, NamedByConnection);
  });
}

} // namespace jaybridge
