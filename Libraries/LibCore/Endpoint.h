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

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

private:
  Endpoint(std::string Address, Port Number)
      : Address_(std::move(Address)), Port_(Number) {}

  std::string Address_;
  Port Port_;
};

} // namespace jaybridge
