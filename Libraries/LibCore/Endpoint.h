#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <compare>
#include <string>
#include <string_view>

namespace jaybridge {

/// An IPv4 address and a port. Names are not resolved.
class Endpoint {
public:
  Endpoint() = default;
  /// Reads "A.B.C.D:PORT". Port 0 asks the kernel for a free port.
  static Result<Endpoint> create(std::string_view Text);
  static Result<Endpoint> create(std::string Address, Port Number);

  const std::string &address() const { return Address_; }
  Port port() const { return Port_; }
  std::string text() const;

  // Written out: clang-tidy 14 reports code inside defaulted comparisons.
  friend bool operator==(const Endpoint &Left, const Endpoint &Right) {
    return Left.Address_ == Right.Address_ && Left.Port_ == Right.Port_;
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
