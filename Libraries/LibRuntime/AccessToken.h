#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Shared secret that authenticates peers, operators or upstreams.
class AccessToken {
public:
  /// Creates a token from Text without surrounding white space. `Invalid` when
  /// fewer than 16 characters remain.
  static Result<AccessToken> create(std::string_view Text);
  /// Reads a token from a file. Errors: `NotFound` when the file cannot be
  /// read, otherwise as create().
  static Result<AccessToken> readFile(const std::string &Path);

  /// Compares in a time that does not depend on the position of the first
  /// difference, so that a token cannot be guessed character by character from
  /// response times.
  bool isEqualTo(std::string_view Presented) const;
  const std::string &text() const { return Text_; }

private:
  explicit AccessToken(std::string Text) : Text_(std::move(Text)) {}

  std::string Text_;
};

} // namespace jaybridge
