#pragma once

#include <LibCore/Hash.h>

#include <cstdint>
#include <string>
#include <utility>

namespace jaybridge {

/// Secret key of a caller. The type has no stream operator and no accessor for
/// the text, so that a key cannot reach a log line, a metric or a message.
class Credential {
public:
  explicit Credential(std::string Secret) : Secret_(std::move(Secret)) {}

  bool isEmpty() const { return Secret_.empty(); }
  /// Index of tables that are compared with isSameAs().
  std::uint64_t hash() const { return stableHash(Secret_); }
  /// The time depends on the lengths only, not on the position of the first
  /// difference.
  bool isSameAs(const Credential &Other) const;

private:
  std::string Secret_;
};

} // namespace jaybridge
