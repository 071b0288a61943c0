#include <LibRuntime/AccessToken.h>

#include <fstream>
#include <sstream>

namespace jaybridge {

Result<AccessToken> AccessToken::create(std::string_view Text) {
  constexpr std::string_view WhiteSpace = " \t\r\n";
  constexpr std::size_t MinTokenLength = 16;
  const std::size_t First = Text.find_first_not_of(WhiteSpace);
  Text.remove_prefix(First == std::string_view::npos ? Text.size() : First);
  Text = Text.substr(0, Text.find_last_not_of(WhiteSpace) + 1);
  if (Text.size() < MinTokenLength)
    return Error{ErrorCode::Invalid,
                 "an access token must have at least 16 characters",
                 {}};
  return AccessToken(std::string(Text));
}

Result<AccessToken> AccessToken::readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return Error{ErrorCode::NotFound, "cannot read token file " + Path, {}};
  return create(Text.str());
}

bool AccessToken::isEqualTo(std::string_view Presented) const {
  unsigned char Difference = Presented.size() == Text_.size() ? 0 : 1;
  for (std::size_t I = 0; I < Presented.size(); ++I)
    Difference = static_cast<unsigned char>(
        Difference | (Presented[I] ^ Text_[I % Text_.size()]));
  return Difference == 0;
}

} // namespace jaybridge
