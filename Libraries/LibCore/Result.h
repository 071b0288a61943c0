#pragma once

#include <LibCore/Error.h>
#include <LibCore/Verify.h>

#include <utility>
#include <variant>

namespace jaybridge {

/// A value, or the error that prevented it.
template <typename T> class [[nodiscard]] Result {
public:
  Result(T Value) : Outcome_(std::in_place_index<0>, std::move(Value)) {}
  Result(Error Reason) : Outcome_(std::in_place_index<1>, std::move(Reason)) {}

  bool hasValue() const { return Outcome_.index() == 0; }
  explicit operator bool() const { return hasValue(); }

  const T &value() const {
    JAYBRIDGE_VERIFY(hasValue());
    return std::get<0>(Outcome_);
  }
  T &value() {
    JAYBRIDGE_VERIFY(hasValue());
    return std::get<0>(Outcome_);
  }
  T takeValue() {
    JAYBRIDGE_VERIFY(hasValue());
    return std::move(std::get<0>(Outcome_));
  }
  const Error &error() const {
    JAYBRIDGE_VERIFY(!hasValue());
    return std::get<1>(Outcome_);
  }
  Error takeError() {
    JAYBRIDGE_VERIFY(!hasValue());
    return std::move(std::get<1>(Outcome_));
  }

private:
  std::variant<T, Error> Outcome_;
};

/// Result of an operation that has no value on success.
using Status = Result<std::monostate>;

inline Status success() { return Status(std::monostate{}); }

} // namespace jaybridge

#define JAYBRIDGE_PASTE(Left, Right) Left##Right
#define JAYBRIDGE_CONCATENATE(Left, Right) JAYBRIDGE_PASTE(Left, Right)

/// `JAYBRIDGE_TRY(auto Value, call());` declares Value as the value of the
/// call, or returns the error of the call from the enclosing function.
#define JAYBRIDGE_TRY(Declaration, Expression)                                 \
  auto JAYBRIDGE_CONCATENATE(TryResult, __LINE__) = (Expression);              \
  if (!JAYBRIDGE_CONCATENATE(TryResult, __LINE__).hasValue())                  \
    return JAYBRIDGE_CONCATENATE(TryResult, __LINE__).takeError();             \
  Declaration = JAYBRIDGE_CONCATENATE(TryResult, __LINE__).takeValue()

/// Returns the error of a call that has no value on success from the enclosing
/// function.
#define JAYBRIDGE_TRY_STATUS(Expression)                                       \
  if (auto TryStatus = (Expression); !TryStatus.hasValue())                    \
  return TryStatus.takeError()
