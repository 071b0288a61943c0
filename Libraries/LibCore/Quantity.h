#pragma once

#include <compare>

namespace jaybridge {

/// An amount in one unit. Quantities with different tags are distinct types
/// that cannot be added or compared.
template <typename Tag, typename Representation> class Quantity {
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Representation Value) : Value_(Value) {}

  constexpr Representation value() const { return Value_; }

  constexpr Quantity &operator+=(Quantity Other) {
    Value_ = static_cast<Representation>(Value_ + Other.Value_);
    return *this;
  }
  constexpr Quantity &operator-=(Quantity Other) {
    Value_ = static_cast<Representation>(Value_ - Other.Value_);
    return *this;
  }
  friend constexpr Quantity operator+(Quantity Left, Quantity Right) {
    return Left += Right;
  }
  friend constexpr Quantity operator-(Quantity Left, Quantity Right) {
    return Left -= Right;
  }
  // Not defaulted: clang-tidy 14 reports findings inside defaulted comparisons.
  friend constexpr bool operator==(Quantity Left, Quantity Right) {
    return Left.Value_ == Right.Value_;
  }
  friend constexpr auto operator<=>(Quantity Left, Quantity Right) {
    return Left.Value_ <=> Right.Value_;
  }

private:
  Representation Value_{};
};

} // namespace jaybridge
