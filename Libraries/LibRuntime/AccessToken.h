#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Secret that peers, operators or upstreams present, read from a file.
class AccessToken {
public:
  /// Text without surrounding white space, of at least 16 characters.
  static Result<AccessToken> create(std::string_view Text);
  static Result<AccessToken> readFile(const std::string &Path);

  /// Takes the same time wherever the texts differ, so that a token cannot be
  /// found character by character.
  bool isEqualTo(std::string_view Presented) const;
  const std::string &text() const { return Text_; }

private:
  explicit AccessToken(std::string Text) : Text_(std::move(Text)) {}

  std::string Text_;
};

} // namespace jaybridge
