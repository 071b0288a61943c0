#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <compare>
#include <string>
#include <string_view>

namespace jaybridge {

/// An IPv4 address and a port. Host names are refused, so nothing is resolved.
class Endpoint {
public:
  Endpoint() = default;
  /// Parses "A.B.C.D:PORT"; fails with `Invalid` for any other form. Port 0
  /// lets the kernel choose a free port when the endpoint is bound.
  static Result<Endpoint> create(std::string_view Text);
  /// Fails with `Invalid` unless Address is a dotted-decimal IPv4 address.
  static Result<Endpoint> create(std::string Address, Port Number);

  const std::string &address() const { return Address_; }
  Port port() const { return Port_; }
  /// "A.B.C.D:PORT".
  std::string text() const;

  // Not defaulted: clang-tidy 14 reports findings inside defaulted comparisons.
  friend bool operator==(const Endpoint &Left, const Endpoint &Right) {
    return Left.Port_ == Right.Port_ && Left.Address_ == Right.Address_;
  }
  friend std::strong_ordering operator<=>(const Endpoint &Left,
                                          const Endpoint &Right) {
    if (auto Order = Left.Address_ <=> Right.Address_; Order != 0)
      return Order;
    return Left.Port_ <=> Right.Port_;
  }

private:
  Endpoint(std::string Address, Port Number)
      : Address_(std::move(Address)), Port_(Number) {}

  std::string Address_;
  Port Port_;
};

} // namespace jaybridge
