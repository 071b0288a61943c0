#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jaybridge {

/// Idempotency key of a request: a UUID version 7 (RFC 9562, section 5.7). Its
/// first 48 bits are the Unix time in milliseconds at which the caller created
/// it, so keys sort by creation time.
class IdempotencyKey {
public:
  static constexpr std::size_t Size = 16;
  using Bytes = std::array<std::uint8_t, Size>;

  /// Parses the text form 8-4-4-4-12, with hexadecimal digits of either case.
  /// Error when the text is not a UUID version 7.
  static Result<IdempotencyKey> create(std::string_view Text);
  /// Error when the version or variant field is not that of a UUID version 7.
  static Result<IdempotencyKey> create(const Bytes &Octets);

  const Bytes &octets() const { return Octets_; }
  /// Text form 8-4-4-4-12 in lower case.
  std::string text() const;
  /// Creation time by the caller's clock, in milliseconds.
  WallTime createdAt() const;

  // Not defaulted, because clang-tidy 14 reports code inside defaulted
  // comparisons.
  friend bool operator==(const IdempotencyKey &Left,
                         const IdempotencyKey &Right) {
    return Left.Octets_ == Right.Octets_;
  }
  friend auto operator<=>(const IdempotencyKey &Left,
                          const IdempotencyKey &Right) {
    return Left.Octets_ <=> Right.Octets_;
  }

private:
  explicit IdempotencyKey(const Bytes &Octets) : Octets_(Octets) {}

  Bytes Octets_;
};

} // namespace jaybridge
