#pragma once

#include <LibCore/Time.h>

#include <concepts>
#include <optional>
#include <vector>

namespace jaybridge {

/// A decision object: a state machine without I/O. It receives typed events and
/// the current time, and appends typed effects for its host to carry out.
/// nextDeadline() is the time of the next advance() call that it needs, if any.
template <typename Role>
concept DecisionRole = requires(Role &Object, const Role &ConstObject,
                                const typename Role::Event &Event,
                                TimePoint Now,
                                std::vector<typename Role::Effect> &Effects) {
  Object.handle(Event, Now, Effects);
  Object.advance(Now, Effects);
  requires std::same_as<decltype(ConstObject.nextDeadline()),
                        std::optional<TimePoint>>;
};

/// Combines lambdas into a single visitor for `std::visit`.
template <typename... Functions> struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace jaybridge
