#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace jaybridge {

/// A textual identifier. Identifiers with different tags are distinct types
/// without conversions between them.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string Text) : Text_(std::move(Text)) {}

  const std::string &text() const { return Text_; }
  bool isEmpty() const { return Text_.empty(); }

  // Not defaulted: clang-tidy 14 reports findings inside defaulted comparisons.
  friend bool operator==(const Identifier &Left, const Identifier &Right) {
    return Left.Text_ == Right.Text_;
  }
  friend auto operator<=>(const Identifier &Left, const Identifier &Right) {
    return Left.Text_ <=> Right.Text_;
  }

private:
  std::string Text_;
};

/// A number that identifies or orders and has no other arithmetic, such as a
/// term, a version or an incarnation.
template <typename Tag> class Ordinal {
public:
  constexpr Ordinal() = default;
  constexpr explicit Ordinal(std::uint64_t Value) : Value_(Value) {}

  constexpr std::uint64_t value() const { return Value_; }
  constexpr Ordinal next() const { return Ordinal(Value_ + 1); }

  friend constexpr bool operator==(Ordinal Left, Ordinal Right) {
    return Left.Value_ == Right.Value_;
  }
  friend constexpr auto operator<=>(Ordinal Left, Ordinal Right) {
    return Left.Value_ <=> Right.Value_;
  }

private:
  std::uint64_t Value_ = 0;
};

} // namespace jaybridge
